//! Opens idle connections to one instance and keeps them.
//!
//! Usage: `idle HOST PORT DATABASE ACCOUNT KEY COUNT`

use std::error::Error;

use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;

/// Connections that are opened at once.
const AT_ONCE: usize = 32;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [host, port, database, account, key, count] = args.as_slice() else {
        return Err("usage: idle HOST PORT DATABASE ACCOUNT KEY COUNT".into());
    };
    let mut config = Config::new();
    config
        .host(host)
        .port(port.parse()?)
        .dbname(database)
        .user(account)
        .password(key);
    let mut left: usize = count.parse()?;
    let mut clients: Vec<Client> = Vec::with_capacity(left);
    while left > 0 {
        let batch = left.min(AT_ONCE);
        let opening = (0..batch).map(|_| config.connect(NoTls));
        for opened in futures::future::join_all(opening).await {
            let (client, connection) = opened?;
            tokio::spawn(connection);
            clients.push(client);
        }
        left -= batch;
    }
    println!("step=idle connections={}", clients.len());
    std::future::pending::<()>().await;
    Ok(())
}
