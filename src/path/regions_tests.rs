use super::regions::{AllowedRegions, Regions};
use test_case::test_case;

const REGIONS: &str = "a-1=east,a-2=east,b-1=west,c-1=south";

fn allowed_regions(names: &str) -> AllowedRegions {
    (!names.is_empty()).then(|| names.split(' ').map(Into::into).collect())
}

/// A request must stay in the regions that both its route and its account allow; unset allows all.
#[test_case("", "", "a-1 a-2 b-1 c-1 unknown"; "no homes")]
#[test_case("east", "", "a-1 a-2"; "of the route")]
#[test_case("", "west south", "b-1 c-1"; "of the account")]
#[test_case("east west", "west south", "b-1"; "of both")]
#[test_case("east", "west", ""; "none in common")]
#[test_case("north", "", ""; "no data centre")]
fn request_stays_in_allowed_regions(route: &str, account: &str, wanted: &str) {
    let regions = Regions::parse(REGIONS);
    let (route, account) = (allowed_regions(route), allowed_regions(account));
    let allowed = ["a-1", "a-2", "b-1", "c-1", "unknown"].into_iter();
    let allowed = allowed.filter(|dc| regions.allow(&[&route, &account], dc));
    let allowed: Vec<&str> = allowed.collect();
    assert_eq!(allowed.join(" "), wanted);
}

/// Callers of a host name with a route bound to regions are directed to routers in their own
/// region, where a request may always start, or in a region that all routes allow; without a
/// binding, to any router.
#[test_case(Some("south"), "west", "b-1 c-1"; "abroad")]
#[test_case(Some("west"), "west", "b-1"; "at home")]
#[test_case(None, "west", "b-1"; "untold")]
#[test_case(Some("south"), "", "a-1 a-2 b-1 c-1"; "no homes")]
fn callers_start_in_allowed_regions_or_their_own(caller: Option<&str>, route: &str, wanted: &str) {
    let regions = Regions::parse(REGIONS);
    let (route, other) = (allowed_regions(route), None);
    let start = ["a-1", "a-2", "b-1", "c-1"].into_iter();
    let start = start.filter(|dc| regions.may_start(caller, &[&route, &other], dc));
    assert_eq!(start.collect::<Vec<_>>().join(" "), wanted);
}
