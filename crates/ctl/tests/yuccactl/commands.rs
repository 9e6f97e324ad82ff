//! What commands do and print.

use std::path::PathBuf;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;
use test_case::test_case;

use crate::fake::Fate;
use crate::fake::Fleet;
use crate::fake::yuccactl;

const WRITER: &str = "secret-of-the-writer";

fn fleet() -> Arc<Fleet> {
    Fleet::open(WRITER, 0)
}

const SET: [&str; 5] = ["set", "values/burst", "3", "--id", "c1"];

#[tokio::test]
async fn a_value_is_set_and_printed() {
    let fleet = fleet();
    let set = yuccactl(&fleet, &SET).await;
    assert_eq!(
        (set.code, set.results.as_str()),
        (0, "accepted=now change=c1 revision=1\n")
    );
    assert_eq!(
        set.notes, "change=c1 base=0\n",
        "the id is printed before the change is sent"
    );
    let get = yuccactl(&fleet, &["tree", "get", "values"]).await;
    assert_eq!(get.results.parse::<Value>().unwrap(), json!({"burst": 3}));
    let again = yuccactl(&fleet, &SET).await;
    assert_eq!(again.results, "accepted=earlier change=c1 revision=1\n");
    assert_eq!(fleet.revision().await, 1);
}

#[test_case(&[Fate::LostAfter] => (0, 1) ; "the answer is lost")]
#[test_case(&[Fate::LostBefore, Fate::LostAfter, Fate::LostBefore] => (0, 1) ; "several are lost")]
#[test_case(&[Fate::NoConnection] => (0, 1) ; "one instance is down")]
#[test_case(&[Fate::NoConnection, Fate::NoConnection] => (7, 0) ; "all are down")]
#[test_case(&[Fate::LostBefore; 8] => (5, 0) ; "all answers are lost")]
#[tokio::test(start_paused = true)]
async fn a_change_takes_effect_at_most_once(fates: &[Fate]) -> (u8, u64) {
    let fleet = fleet();
    fleet.fates.lock().unwrap().extend(fates);
    let set = yuccactl(&fleet, &SET).await;
    if set.code == 5 {
        assert!(set.notes.contains("--id c1"), "{}", set.notes);
    }
    (set.code, fleet.revision().await)
}

#[test_case(&["set", "values/burst", "1000001"], 1, "from 0 to 1000000" ; "out of range")]
#[test_case(&["set", "values/colour", "red"], 1, "known: deadline_ms" ; "unknown name")]
#[test_case(&["set", "values/burst", "3", "--base", "7"], 3, "revision=0" ; "another base")]
#[test_case(&["change", "nothing"], 1, "not-found" ; "unknown change")]
#[test_case(&["key", "grant", "nobody/there"], 1, "path=" ; "strange account")]
#[test_case(&["key", "grant", "club", "--dry-run"], 2, "--dry-run" ; "dry run of a key")]
#[test_case(&["tree", "get", "nothing"], 2, "no such part" ; "unknown part")]
#[tokio::test]
async fn failures_are_told(arguments: &[&str], code: u8, text: &str) {
    let fleet = fleet();
    let run = yuccactl(&fleet, arguments).await;
    assert_eq!(run.code, code, "{}", run.notes);
    assert!(run.notes.contains(text), "{}", run.notes);
    assert_eq!(fleet.revision().await, 0);
}

#[tokio::test]
async fn a_conflict_shows_who_changed_what() {
    let fleet = fleet();
    yuccactl(&fleet, &SET).await;
    let late = yuccactl(&fleet, &["set", "values/weight", "2", "--base", "0"]).await;
    assert_eq!(late.code, 3);
    let expected = "change=c1 revision=1 operator=olga paths=values/burst";
    assert!(late.notes.contains(expected), "{}", late.notes);
}

#[tokio::test]
async fn a_reader_gets_its_own_exit_code() {
    let fleet = Fleet::open("secret-of-the-reader", 0);
    assert_eq!(yuccactl(&fleet, &SET).await.code, 8);
    assert_eq!(yuccactl(&fleet, &["groups"]).await.code, 0);
}

#[tokio::test(start_paused = true)]
async fn waiting_ends_when_the_change_is_in_force() {
    let fleet = Fleet::open(WRITER, 3);
    let set = yuccactl(&fleet, &[&SET[..], &["--wait"]].concat()).await;
    assert_eq!(set.code, 0, "{}", set.notes);
    assert!(set.notes.contains("in_force=everywhere"), "{}", set.notes);
}

#[tokio::test(start_paused = true)]
async fn waiting_in_vain_names_the_missing_instances() {
    let fleet = Fleet::open(WRITER, u32::MAX);
    let arguments = [&SET[..], &["--wait", "--timeout", "2"]].concat();
    let set = yuccactl(&fleet, &arguments).await;
    assert_eq!(set.code, 6);
    assert!(set.notes.contains("two (cut-off)"), "{}", set.notes);
    let status = yuccactl(&fleet, &["change", "c1"]).await;
    assert!(
        status.results.contains("until reached"),
        "{}",
        status.results
    );
}

fn file(name: &str, tree: &Value) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, tree.to_string()).unwrap();
    path.display().to_string()
}

#[tokio::test]
async fn a_whole_tree_is_compared_checked_and_applied() {
    let fleet = fleet();
    yuccactl(&fleet, &SET).await;
    let wanted = json!({"schema": 1, "values": {"weight": 2}, "accounts": {"club": {}}});
    let file = file("whole", &wanted);
    let diff = yuccactl(&fleet, &["tree", "diff", &file]).await;
    let expected =
        "+ accounts/club {\"keys\":{},\"values\":{}}\n- values/burst 3\n+ values/weight 2\n";
    assert_eq!(diff.results, expected);
    let dry = yuccactl(&fleet, &["tree", "apply", &file, "--dry-run"]).await;
    assert_eq!(
        (dry.code, dry.results.as_str()),
        (0, "acceptable=true revision=2\n")
    );
    assert_eq!(fleet.revision().await, 1);
    let apply = ["tree", "apply", &file, "--id", "c2"];
    assert_eq!(yuccactl(&fleet, &apply).await.code, 0);
    let again = yuccactl(&fleet, &apply).await;
    assert!(
        again.results.starts_with("change=c2 revision=2"),
        "{}",
        again.results
    );
    let same = yuccactl(&fleet, &["tree", "apply", &file]).await;
    assert!(same.notes.contains("differences=0"), "{}", same.notes);
    assert_eq!(fleet.revision().await, 2);
}

#[tokio::test]
async fn a_wrong_file_is_refused_before_it_is_sent() {
    let fleet = fleet();
    let file = file(
        "wrong",
        &json!({"schema": 1, "values": {"weight": "heavy"}}),
    );
    let apply = yuccactl(&fleet, &["tree", "apply", &file]).await;
    assert_eq!(apply.code, 1);
    assert!(apply.notes.contains("values/weight"), "{}", apply.notes);
}

#[tokio::test]
async fn a_key_is_shown_once() {
    let fleet = fleet();
    yuccactl(&fleet, &["set", "accounts/club", "{}"]).await;
    let grant = ["key", "grant", "club", "--id", "k1"];
    let first = yuccactl(&fleet, &grant).await;
    assert_eq!(first.results, "account=club id=k1 key=the-key\n");
    let again = yuccactl(&fleet, &grant).await;
    assert!(
        again.results.contains("shown only once"),
        "{}",
        again.results
    );
    let withdraw = yuccactl(&fleet, &["key", "withdraw", "club", "k1", "--json"]).await;
    let answer: Value = withdraw.results.parse().unwrap();
    assert_eq!(answer["accepted"]["record"]["revision"], 3);
}

#[tokio::test(start_paused = true)]
async fn a_key_whose_answer_was_lost_is_found_again() {
    let fleet = fleet();
    yuccactl(&fleet, &["set", "accounts/club", "{}"]).await;
    let fates = [Fate::LostAfter, Fate::Reused, Fate::Arrives];
    fleet.fates.lock().unwrap().extend(fates);
    let grant = yuccactl(&fleet, &["key", "grant", "club", "--id", "k1"]).await;
    assert_eq!(grant.code, 0, "{}", grant.notes);
    assert!(
        grant.results.contains("shown only once"),
        "{}",
        grant.results
    );
    fleet.fates.lock().unwrap().push_back(Fate::Reused);
    let other = yuccactl(&fleet, &["key", "grant", "club", "--id", "k1"]).await;
    assert_eq!(other.code, 1, "without a doubt the id is somebody else's");
}

#[tokio::test]
async fn events_of_all_instances_are_merged_in_order() {
    let fleet = fleet();
    let arguments = [
        "--admin", "two", "--admin", "one", "--admin", "three", "timeline",
    ];
    let run = yuccactl(&fleet, &arguments).await;
    let stamps: Vec<&str> = run.results.lines().map(|line| &line[..8]).collect();
    let expected = [
        "stamp=10", "stamp=11", "stamp=12", "stamp=13", "stamp=14", "stamp=15",
    ];
    assert_eq!(stamps, expected);
    assert!(
        run.notes.contains("missing") && run.notes.contains("three"),
        "{}",
        run.notes
    );
    let later = yuccactl(&fleet, &["timeline", "--after", "12", "--json"]).await;
    assert_eq!(later.results.lines().count(), 3);
}

#[tokio::test]
async fn lists_are_tables_for_people_and_json_for_programs() {
    let fleet = fleet();
    let table = yuccactl(&fleet, &["groups"]).await;
    let expected = "GROUP   TERM  PRIMARY  PHASE   WRITABLE\norders  3     -        steady  true\n";
    assert_eq!(table.results, expected);
    let json = yuccactl(&fleet, &["groups", "--json"]).await;
    assert_eq!(json.results.parse::<Value>().unwrap()[0]["name"], "orders");
    let handover = yuccactl(&fleet, &["handover", "orders"]).await;
    assert_eq!(handover.results, "group=orders term=4 order=o1\n");
}

/// A tree with one group in two zones.
async fn fleet_of_two_zones() -> Arc<Fleet> {
    let fleet = fleet();
    let group = json!({
        "endpoints": {
            "orders-1": {"zone": "z1", "address": "127.0.0.1:1"},
            "orders-2": {"zone": "z2", "address": "127.0.0.1:2"},
        },
        "slots": 4,
        "user": "proxy",
        "password_ref": "proxy",
    });
    let set = yuccactl(&fleet, &["set", "groups/orders", &group.to_string()]).await;
    assert_eq!(set.code, 0, "{}", set.notes);
    fleet
}

/// Guards against an evacuation that is reported but not in the settings, and against one that can't
/// be taken back.
#[tokio::test]
async fn a_zone_is_evacuated_listed_and_taken_back() {
    let fleet = fleet_of_two_zones().await;
    let evacuate = yuccactl(&fleet, &["evacuate", "z1", "--id", "c2"]).await;
    assert_eq!(evacuate.code, 0, "{}", evacuate.notes);
    let zones = yuccactl(&fleet, &["tree", "get", "zones"]).await;
    assert_eq!(
        zones.results.parse::<Value>().unwrap(),
        json!({"z1": {"evacuated": true}})
    );
    let status = yuccactl(&fleet, &["status", "--json"]).await;
    let rows: Value = status.results.parse().unwrap();
    assert_eq!(rows[0]["zone"], "z1");
    assert_eq!(rows[0]["is_evacuated"], true);
    assert_eq!(rows[1]["is_evacuated"], false);
    let undo = yuccactl(&fleet, &["evacuate", "--undo", "z1"]).await;
    assert_eq!(undo.code, 0, "{}", undo.notes);
    let gone = yuccactl(&fleet, &["tree", "get", "zones"]).await;
    assert!(gone.notes.contains("no such part"), "{}", gone.notes);
}

/// Guards against a second evacuation that fails, or makes another revision for nothing.
#[test_case(&["evacuate", "z1"] ; "evacuated twice")]
#[test_case(&["evacuate", "--undo", "z2"] ; "taken back without an evacuation")]
#[tokio::test]
async fn an_evacuation_that_changes_nothing_is_no_error(arguments: &[&str]) {
    let fleet = fleet_of_two_zones().await;
    yuccactl(&fleet, &["evacuate", "z1"]).await;
    let revision = fleet.revision().await;
    let again = yuccactl(&fleet, arguments).await;
    assert_eq!(again.code, 0, "{}", again.notes);
    assert!(again.notes.contains("changed=false"), "{}", again.notes);
    assert_eq!(fleet.revision().await, revision);
}

/// Guards against a misspelled zone that is accepted and evacuates nothing.
#[tokio::test]
async fn an_unknown_zone_is_refused() {
    let fleet = fleet_of_two_zones().await;
    let revision = fleet.revision().await;
    let wrong = yuccactl(&fleet, &["evacuate", "z3"]).await;
    assert_eq!(wrong.code, 2);
    assert!(
        wrong.notes.contains("known zones: z1, z2"),
        "{}",
        wrong.notes
    );
    assert_eq!(fleet.revision().await, revision);
}
