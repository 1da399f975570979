//! Asks a mixer what it tells of itself, within a time and a size.

use async_io::{Async, Timer};
use fernglade_rollout::metrics_sample::{MetricsSample, MAX_RESPONSE_BYTES};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longer than a busy mixer takes, shorter than what counts as out of reach.
const WITHIN: Duration = Duration::from_millis(600);

pub enum Answer {
    Sample(Box<MetricsSample>),
    /// Nobody listens there.
    Nobody,
    /// Nothing came in time, or nothing that makes sense; the reason.
    Nothing(String),
}

pub async fn ask(at: SocketAddr) -> Answer {
    let late = async {
        Timer::after(WITHIN).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    match future::or(get(at), late).await {
        Ok(text) => match told(&text) {
            Ok(told) => Answer::Sample(Box::new(told)),
            Err(why) => Answer::Nothing(why),
        },
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Answer::Nobody,
        Err(error) => Answer::Nothing(error.to_string()),
    }
}

async fn get(at: SocketAddr) -> io::Result<String> {
    let mut stream = Async::<TcpStream>::connect(at).await?;
    stream.write_all(b"GET /figures HTTP/1.1\r\nHost: mixer\r\nConnection: close\r\n\r\n").await?;
    let mut text = Vec::new();
    stream.take(MAX_RESPONSE_BYTES as u64).read_to_end(&mut text).await?;
    String::from_utf8(text).map_err(|_| io::ErrorKind::InvalidData.into())
}

fn told(answer: &str) -> Result<MetricsSample, String> {
    let (head, body) = answer.split_once("\r\n\r\n").ok_or("no whole answer")?;
    match head.split(' ').nth(1) {
        Some("200") => MetricsSample::parse(body).map_err(|why| why.to_string()),
        Some(status) => Err(format!("status {status}: its operator's file has to allow us (figures.to)")),
        None => Err("no answer in HTTP".into()),
    }
}

/// Asks all at once; the answers in their order.
pub async fn ask_all(all: &[SocketAddr]) -> Vec<Answer> {
    let executor = std::rc::Rc::new(async_executor::LocalExecutor::new());
    let tasks: Vec<_> = all.iter().map(|at| executor.spawn(ask(*at))).collect();
    executor
        .run(async {
            let mut answers = Vec::with_capacity(tasks.len());
            for task in tasks {
                answers.push(task.await);
            }
            answers
        })
        .await
}
