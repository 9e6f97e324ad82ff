//! Tests of the HTTP client of the platform.

use std::time::Duration;

use store::Http;
use store::Roster;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Opens a client of a platform that answers one request with `body`.
async fn open(body: String) -> std::sync::Arc<Http> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("a bound port");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4096];
        let _read = stream.read(&mut request).await.expect("a request");
        let length = body.len();
        let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        let sent = stream.write_all(reply.as_bytes()).await;
        sent.expect("an open connection");
    });
    Http::open(&format!("http://{address}"), Duration::from_secs(5)).expect("a client")
}

/// One entry that can't be read kept every instance from following the whole list.
#[tokio::test]
async fn a_roster_entry_that_can_not_be_read_leaves_the_others() {
    let machine = |name: &str, status: &str| {
        format!(
            r#"{{"name":"{name}","role":"endpoint","zone":"a","address":"10.0.0.1:5432","status":{status}}}"#
        )
    };
    let nested = format!("{}{}", "[".repeat(5_000), "]".repeat(5_000));
    let entries = [
        machine("first", "\"live\""),
        machine("nested", &nested),
        machine("large", "1e999"),
        machine("unknown", "\"tired\""),
        "{}".to_owned(),
        nested,
        machine("last", "\"leaving\""),
    ];
    let http = open(format!("[{}]", entries.join(","))).await;
    let machines = http.machines().await.expect("a list");
    let names: Vec<&str> = machines.iter().map(|machine| &*machine.name).collect();
    assert_eq!(names, ["first", "last"]);
}
