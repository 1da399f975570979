//! Scrapes the metrics of mixers over HTTP, with a limit on time and size.

use async_io::{Async, Timer};
use fernglade_rollout::metrics_sample::{MetricsSample, MAX_RESPONSE_BYTES};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longer than a busy mixer takes to answer, and shorter than the time after which it counts as unreachable.
const SCRAPE_TIMEOUT: Duration = Duration::from_millis(600);

/// The result of scraping one mixer.
pub enum ScrapeResult {
    Sample(Box<MetricsSample>),
    /// Nothing listens on the address.
    ConnectionRefused,
    /// No answer in time, or an invalid one; the text is the reason.
    Failed(String),
}

/// Scrapes one mixer.
pub async fn scrape(address: SocketAddr) -> ScrapeResult {
    let timeout = async {
        Timer::after(SCRAPE_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    match future::or(http_get(address), timeout).await {
        Ok(text) => match parse_response(&text) {
            Ok(sample) => ScrapeResult::Sample(Box::new(sample)),
            Err(why) => ScrapeResult::Failed(why),
        },
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => ScrapeResult::ConnectionRefused,
        Err(error) => ScrapeResult::Failed(error.to_string()),
    }
}

async fn http_get(address: SocketAddr) -> io::Result<String> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    stream.write_all(b"GET /figures HTTP/1.1\r\nHost: mixer\r\nConnection: close\r\n\r\n").await?;
    let mut text = Vec::new();
    stream.take(MAX_RESPONSE_BYTES as u64).read_to_end(&mut text).await?;
    String::from_utf8(text).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Parses an HTTP response with metrics. The error texts are written to the journal's log.
fn parse_response(response: &str) -> Result<MetricsSample, String> {
    let (head, body) = response.split_once("\r\n\r\n").ok_or("no whole answer")?;
    match head.split(' ').nth(1) {
        Some("200") => MetricsSample::parse(body).map_err(|why| why.to_string()),
        Some(status) => Err(format!("status {status}: its operator's file has to allow us (figures.to)")),
        None => Err("no answer in HTTP".into()),
    }
}

/// Scrapes all addresses concurrently. The results are in the order of the addresses.
pub async fn scrape_all(addresses: &[SocketAddr]) -> Vec<ScrapeResult> {
    let executor = std::rc::Rc::new(async_executor::LocalExecutor::new());
    let tasks: Vec<_> = addresses.iter().map(|address| executor.spawn(scrape(*address))).collect();
    executor
        .run(async {
            let mut results = Vec::with_capacity(tasks.len());
            for task in tasks {
                results.push(task.await);
            }
            results
        })
        .await
}
