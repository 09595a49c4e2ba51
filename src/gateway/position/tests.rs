use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use super::Era;
use super::Position;
use super::StatedEra;

const NAME: HeaderName = HeaderName::from_static("log-era");

fn parse(value: &'static str) -> StatedEra {
    let mut headers = HeaderMap::new();
    headers.insert(NAME, HeaderValue::from_static(value));
    StatedEra::from_headers(&headers, &NAME)
}

#[test]
fn a_position_of_a_later_era_is_newer_at_any_offset() {
    let old = Position::new(Era::new(1), 900);
    let new = Position::new(Era::new(2), 3);

    assert!(old < new);
    assert!(Position::new(Era::new(2), 2) < new);
    assert_eq!(new.before(), Position::new(Era::new(2), 2));
    assert_eq!(Position::new(Era::new(2), 0).before().offset, 0);
}

#[test]
fn an_era_is_a_number_above_zero() {
    assert_eq!(parse("7"), StatedEra::Era(Era::new(7)));
    assert_eq!(
        StatedEra::from_headers(&HeaderMap::new(), &NAME),
        StatedEra::Nothing
    );
    for wrong in ["", "0", "-1", "1.5", "seven", "99999999999999999999"] {
        assert_eq!(parse(wrong), StatedEra::Unreadable, "{wrong}");
    }
}
