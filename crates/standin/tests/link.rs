//! Links between zones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use standin::link::Links;
use standin::link::Options;
use standin::link::Route;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = socket.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    address
}

async fn links(from: &str) -> Arc<Links> {
    let to = echo().await;
    let route = format!("127.0.0.1:0={to},{from},b").parse().expect("route");
    let options = Options {
        routes: vec![route],
        zones: vec!["a=127.0.0.1".parse().expect("zone")],
        delay: Duration::from_millis(1),
        ..Options::default()
    };
    Links::spawn(options).await.expect("links")
}

async fn send(socket: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    socket.write_all(b"ping").await?;
    let mut answer = [0; 4];
    socket.read_exact(&mut answer).await?;
    Ok(answer)
}

#[test_case("a"; "the route names the zone")]
#[test_case("*"; "the address tells the zone")]
#[tokio::test]
async fn a_cut_moves_nothing_and_closes_when_healed(from: &str) {
    let links = links(from).await;
    let mut socket = TcpStream::connect(links.addresses[0]).await.expect("link");
    assert_eq!(&send(&mut socket).await.expect("answer"), b"ping");
    links.cut("b", "a");
    let moved = tokio::time::timeout(Duration::from_millis(50), send(&mut socket)).await;
    assert!(moved.is_err(), "moved through a cut");
    links.cut("a", "c");
    links.heal("a", "b");
    assert!(send(&mut socket).await.is_err(), "still open");
    let mut socket = TcpStream::connect(links.addresses[0]).await.expect("link");
    assert_eq!(&send(&mut socket).await.expect("answer"), b"ping");
}

#[tokio::test]
async fn a_target_that_does_not_listen_resets() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let to = closed.local_addr().expect("address");
    drop(closed);
    let options = Options {
        routes: vec![format!("127.0.0.1:0={to},a,b").parse().expect("route")],
        ..Options::default()
    };
    let links = Links::spawn(options).await.expect("links");
    let mut socket = TcpStream::connect(links.addresses[0]).await.expect("link");
    let error = socket.read(&mut [0; 1]).await.expect_err("reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[test_case("127.0.0.1:1"; "no target")]
#[test_case("127.0.0.1:1=127.0.0.1:2"; "no zones")]
#[test_case("127.0.0.1:1=127.0.0.1:2,a"; "one zone")]
#[test_case("here=127.0.0.1:2,a,b"; "no address")]
fn a_wrong_route_is_refused(text: &str) {
    assert!(text.parse::<Route>().is_err());
}
