//! Organisations: who is identified by which keys, what their quotas count, and which configurations make no sense.

use orioleroute::ingress::configuration::{Kind, Limits, Route, Target};
use orioleroute::ingress::organisation::{KeyDigest, Organisation, Quota, Unidentified, Unit};
use orioleroute::ingress::{Configuration, organisation::Organisations};
use orioleroute::prelude::*;
use rstest::rstest;

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    Organisation { name: name.into(), keys, priority: None, quota: None }
}

fn organisations() -> Organisations {
    [organisation("one", &["k1", "k2"]), organisation("two", &["k3"]), organisation("none", &[])]
        .into_iter()
        .collect()
}

fn route(is_open: bool) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 0.into(),
        attempts: 1,
        is_resumable: false,
        is_open,
        pause_objective: None,
        targets: vec![Target { service: "s".into(), weight: 1 }],
    }
}

#[rstest]
#[case::first(&["k1"], Ok("one"))]
#[case::second(&["k2"], Ok("one"))]
#[case::other(&["k3"], Ok("two"))]
#[case::none(&[], Err(Unidentified::NoKey))]
#[case::empty(&[""], Err(Unidentified::UnknownKey))]
#[case::unknown(&["k4"], Err(Unidentified::UnknownKey))]
#[case::two(&["k1", "k1"], Err(Unidentified::UnknownKey))]
fn an_organisation_is_identified_by_its_only_key(
    #[case] keys: &[&str],
    #[case] expected: Result<&str, Unidentified>,
) {
    let organisations = organisations();

    let found = organisations.identify(keys.iter().map(|key| key.as_bytes()));

    assert_eq!(found.map(|organisation| &*organisation.name), expected);
}

#[rstest]
#[case::closed_without_a_key(false, &[], Err(Unidentified::NoKey))]
#[case::open_without_a_key(true, &[], Ok(None))]
#[case::open_with_an_unknown_key(true, &["k4"], Ok(None))]
#[case::open_with_a_known_key(true, &["k1"], Ok(Some("one")))]
fn an_open_route_needs_no_key(
    #[case] is_open: bool,
    #[case] keys: &[&str],
    #[case] expected: Result<Option<&str>, Unidentified>,
) {
    let configuration = Configuration::new(1, [], [], Limits::default())
        .with_organisations([organisation("one", &["k1"])])
        .unwrap();

    let found = configuration.identify(&route(is_open), keys.iter().map(|key| key.as_bytes()));

    assert_eq!(found.map(|found| found.map(|organisation| &*organisation.name)), expected);
}

#[test]
fn a_configuration_without_organisations_asks_for_no_key() {
    let configuration = Configuration::new(1, [], [], Limits::default());

    let found = configuration.identify(&route(false), [b"k1".as_slice()]);

    assert_eq!(found, Ok(None));
}

#[test]
fn a_digest_stands_in_the_place_of_its_key() {
    let digest = KeyDigest::of(b"k1");

    assert_eq!(KeyDigest::parse("k1"), digest);
    assert_eq!(KeyDigest::parse(&digest.to_string()), digest);
    assert_ne!(KeyDigest::of(digest.to_string().as_bytes()), digest);
}

#[rstest]
#[case::tokens(Unit::Token, Some(2_400), 2_400)]
#[case::no_tokens_stated(Unit::Token, None, 200)]
#[case::requests(Unit::Request, Some(2_400), 1)]
fn a_request_counts_by_the_unit_of_the_quota(
    #[case] unit: Unit,
    #[case] tokens: Option<u64>,
    #[case] expected: u64,
) {
    let quota = Quota { rate: 10.0, burst: 10.0, unit, default_tokens: 200 };

    assert_eq!(quota.cost(tokens), expected);
}

#[rstest]
#[case::nan(f64::NAN, 0.0)]
#[case::infinite(f64::INFINITY, 0.0)]
#[case::no_burst(1.0, f64::NAN)]
fn a_quota_that_is_no_number_is_rejected(#[case] rate: f64, #[case] burst: f64) {
    let quota = Quota { rate, burst, unit: Unit::Token, default_tokens: 1 };
    let organisation = Organisation { quota: Some(quota), ..organisation("one", &[]) };

    let checked =
        Configuration::new(1, [], [], Limits::default()).with_organisations([organisation]);

    assert!(checked.is_err());
}
