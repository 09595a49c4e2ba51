//! A fake of the platform's log for scenarios: one stream, with its faults.

use cedargauge::appender::Input;
use cedargauge::clock::Time;
use cedargauge::id::Offset;
use cedargauge::platform::AppendAnswer;
use cedargauge::platform::ReadAnswer;
use cedargauge::platform::Record;

const READ_RECORDS: usize = 3;

/// One stream of the log.
#[derive(Default)]
pub struct FakeLog {
    pub records: Vec<Record>,
    pub first_retained: usize,
    pub is_down: bool,
    pub answers: Answers,
    /// Written, but not yet in the stream.
    late: Vec<String>,
}

#[derive(Default, Clone, Copy)]
pub enum Answers {
    #[default]
    Kept,
    /// The records are appended and the answer is lost.
    Lost,
    /// The records are appended only after the next read, and the answer is lost.
    Late,
}

impl FakeLog {
    pub fn append(&mut self, now: Time, text: String) -> Offset {
        let offset = Offset(self.records.len() as u64);
        self.records.push(Record {
            offset,
            appended_at_ms: now.as_ms(),
            data: text,
        });
        offset
    }

    pub fn take(&mut self, now: Time, records: Vec<String>) -> Input {
        if self.is_down {
            return Input::Refused;
        }
        if let Answers::Late = self.answers {
            self.late.extend(records);
            return Input::Lost;
        }
        let first_offset = Offset(self.records.len() as u64);
        for text in records {
            self.append(now, text);
        }
        match self.answers {
            Answers::Kept => Input::Appended(AppendAnswer { first_offset }),
            Answers::Lost | Answers::Late => Input::Lost,
        }
    }

    pub fn land_late(&mut self, now: Time) {
        for text in std::mem::take(&mut self.late) {
            self.append(now, text);
        }
    }

    pub fn read(&self, from: Offset) -> Option<ReadAnswer> {
        let from = usize::try_from(from.0).ok()?.max(self.first_retained);
        let records = self.records.iter().skip(from).take(READ_RECORDS);
        (!self.is_down).then(|| ReadAnswer {
            records: records.cloned().collect(),
            first_retained: Offset(self.first_retained as u64),
            head: Offset(self.records.len() as u64),
        })
    }
}
