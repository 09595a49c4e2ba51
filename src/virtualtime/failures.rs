//! Engines that refuse, die or are reclaimed during a run in virtual time.

use std::time::Duration;

use crate::clock::Time;
use crate::faultscript::Fault;
use crate::observe::Fate;
use crate::schedule::Ending;
use crate::schedule::Input;
use crate::virtualtime::Due;
use crate::virtualtime::VirtualRun;

/// A dead engine leaves the list of hosts after this time.
const HOST_LIST_LAG: Duration = Duration::from_secs(2);

impl VirtualRun<'_> {
    /// The upstream failed or refused before a token came: another one may take the request.
    pub(super) fn retry(&mut self, now: Time, request: usize, engine: usize, ending: Ending) {
        self.release(request, ending, 0);
        let avoid = self.engines[engine].id.clone();
        self.states[request].avoid.push(avoid);
        if self.states[request].avoid.len() == self.engines.len() {
            self.end(now, request, Fate::Refused);
            return;
        }
        self.submit(now, request);
    }

    pub(super) fn fault(&mut self, now: Time, fault: &Fault) {
        match fault {
            Fault::EngineDies { service, engine } if *service == self.service.service => {
                self.die(now, *engine);
            }
            Fault::EngineReclaimed {
                service,
                engine,
                notice_ms,
            } if *service == self.service.service => self.reclaim(now, *engine, *notice_ms),
            Fault::EngineDies { .. }
            | Fault::EngineReclaimed { .. }
            | Fault::LengthShift { .. } => {}
        }
    }

    fn reclaim(&mut self, now: Time, index: usize, notice_ms: u64) {
        let Some(engine) = self.engines.get_mut(index) else {
            return;
        };
        engine.model.set_leaving();
        let id = engine.id.clone();
        self.inputs.push_back(Input::UpstreamLeaving(id));
        let dies_at = now + Duration::from_millis(notice_ms);
        self.schedule(dies_at, Due::Dies(index));
    }

    pub(super) fn die(&mut self, now: Time, index: usize) {
        let Some(engine) = self.engines.get_mut(index).filter(|engine| engine.alive) else {
            return;
        };
        engine.alive = false;
        for request in std::mem::take(&mut engine.holds) {
            let restartable = self.states[request].tokens == 0 && self.requests[request].repeatable;
            if restartable {
                self.retry(now, request, index, Ending::UpstreamFailed);
            } else {
                self.release(request, Ending::UpstreamFailed, 0);
                self.end(now, request, Fate::Failed);
            }
        }
        self.schedule(now + HOST_LIST_LAG, Due::Unlisted(index));
    }
}
