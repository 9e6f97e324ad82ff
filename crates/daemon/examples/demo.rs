//! Drives one instance with a PostgreSQL client library and prints what happened.
//!
//! Usage: `demo HOST PORT DATABASE ACCOUNT KEY`

use std::error::Error;
use std::time::Duration;

use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// How often a refused statement is sent again.
const TRIES: usize = 20;
/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);
/// How many reads show whether replicas answer.
const READS: usize = 50;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [host, port, database, account, key] = args.as_slice() else {
        return Err("usage: demo HOST PORT DATABASE ACCOUNT KEY".into());
    };
    let mut config = Config::new();
    config
        .host(host)
        .port(port.parse()?)
        .dbname(database)
        .user(account)
        .password(key);
    let client = connect(&config).await?;
    write(&client).await?;
    read(&client).await?;
    transact(&client).await?;
    repeat(&client).await?;
    fail(&client).await?;
    roam(&client, &config).await?;
    Ok(())
}

async fn connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Runs a statement, and again after a refusal that was truthfully not run.
async fn run(client: &Client, text: &str) -> Result<(), tokio_postgres::Error> {
    for _ in 0..TRIES {
        let Err(error) = client.simple_query(text).await else {
            return Ok(());
        };
        let detail = error.as_db_error().and_then(|error| error.detail());
        if !detail.is_some_and(|detail| detail.contains("not-run=true")) {
            return Err(error);
        }
        println!("step=refused detail={detail:?}");
        tokio::time::sleep(PAUSE).await;
    }
    client.simple_query(text).await.map(|_| ())
}

async fn write(client: &Client) -> Result<(), Box<dyn Error>> {
    let create = "CREATE TABLE IF NOT EXISTS orders (id BIGINT PRIMARY KEY, item TEXT)";
    run(client, create).await?;
    let statement = client
        .prepare("INSERT INTO orders (id, item) VALUES ($1, $2) ON CONFLICT (id) DO NOTHING")
        .await?;
    for id in 1..=3_i64 {
        let item = format!("render {id}");
        let rows = client.execute(&statement, &[&id, &item]).await?;
        println!("step=write id={id} rows={rows}");
    }
    Ok(())
}

async fn read(client: &Client) -> Result<(), Box<dyn Error>> {
    for _ in 0..READS {
        let rows = client
            .query("SELECT id, item FROM orders ORDER BY id", &[])
            .await?;
        assert_eq!(rows.len(), 3, "a session reads its own writes");
    }
    println!("step=read times={READS} rows=3");
    Ok(())
}

async fn transact(client: &Client) -> Result<(), Box<dyn Error>> {
    client.simple_query("BEGIN").await?;
    client
        .execute("UPDATE orders SET item = 'changed' WHERE id = 1", &[])
        .await?;
    client.simple_query("ROLLBACK").await?;
    client.simple_query("BEGIN").await?;
    client
        .execute("UPDATE orders SET item = 'kept' WHERE id = 2", &[])
        .await?;
    client.simple_query("COMMIT").await?;
    let row = client
        .query_one("SELECT item FROM orders WHERE id = 2", &[])
        .await?;
    let item: String = row.get(0);
    println!("step=transaction item={item}");
    Ok(())
}

async fn repeat(client: &Client) -> Result<(), Box<dyn Error>> {
    let charge = "INSERT INTO orders (id, item) VALUES (10, 'charged once') RETURNING id \
        /*idempotency_key='demo-10'*/";
    for attempt in 1..=2 {
        let answer = client.simple_query(charge).await?;
        println!("step=keyed-write attempt={attempt} id={:?}", first(&answer));
    }
    Ok(())
}

async fn fail(client: &Client) -> Result<(), Box<dyn Error>> {
    let error = client
        .simple_query("INSERT INTO orders (id, item) VALUES (1, 'again')")
        .await
        .expect_err("the identifier is taken");
    let error = error.as_db_error().ok_or("no server error")?;
    println!(
        "step=error code={} message={:?}",
        error.code().code(),
        error.message()
    );
    Ok(())
}

/// Continues the session over another connection, by its token.
async fn roam(client: &Client, config: &Config) -> Result<(), Box<dyn Error>> {
    let answer = client.simple_query("SHOW yuccamount.token").await?;
    let token = first(&answer).ok_or("no token")?;
    println!("step=token value={token}");
    let other = connect(config).await?;
    other
        .simple_query(&format!("SET yuccamount.token = '{token}'"))
        .await?;
    let rows = other.query("SELECT id FROM orders", &[]).await?;
    println!("step=roam rows={}", rows.len());
    Ok(())
}

fn first(answer: &[SimpleQueryMessage]) -> Option<String> {
    answer.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}
