//! Nodes of the query API of which some answers bring a second copy right behind them: what are clients served?

use review_standins::*;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const REQUESTS: usize = 40;
/// Clients beside the one that sends several searches in a request.
const CLIENTS: usize = 4;
/// One answer in so many brings a second copy.
const EACH: u64 = 10;

fn start_node(name: &str, record: &Record, answers: &Arc<AtomicU64>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (name, record, answers) = (name.to_string(), record.clone(), answers.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, answers) = (name.clone(), record.clone(), answers.clone());
            thread::spawn(move || {
                let _ = serve_node(stream, &name, &record, &answers);
            });
        }
    });
    Ok(address)
}

/// The word that a search asks for; all words of this case begin alike.
fn word_of(body: &str) -> String {
    let at = body.find("word0").unwrap_or(body.len());
    body[at..].split(|c: char| !c.is_ascii_alphanumeric()).next().unwrap_or_default().to_string()
}

fn serve_node(stream: TcpStream, name: &str, record: &Record, answers: &AtomicU64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((start_line, _, body)) = read_message(&mut reader)? {
        let body = String::from_utf8_lossy(&body).into_owned();
        let search = start_line.contains("_search");
        let answer = if search {
            let word = word_of(&body);
            let shard =
                start_line.split("_shards:").nth(1).and_then(|rest| rest.split('&').next()).unwrap_or("?");
            record.line(format!("{name} ran the search for {word} on shard {shard}"));
            thread::sleep(Duration::from_millis(10));
            format!(
                r#"{{"took":1,"timed_out":false,"_shards":{{"total":1,"successful":1,"skipped":0,"failed":0}},"hits":{{"total":{{"value":1,"relation":"eq"}},"max_score":1.0,"hits":[{{"_index":"cues","_id":"{word}-{shard}","_score":1.0,"_source":{{"cue":"{word}"}}}}]}}}}"#
            )
        } else {
            r#"{"name":"n","version":{"distribution":"opensearch","number":"2.11.0"}}"#.to_string()
        };
        let message = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        let copies = trouble() && search && answers.fetch_add(1, Ordering::SeqCst) % EACH == EACH - 1;
        if copies && nothing_waits(&reader)? {
            record.line(format!("{name} sends its answer with a second copy right behind"));
            writer.write_all((message.clone() + &message).as_bytes())?;
        } else {
            writer.write_all(message.as_bytes())?;
        }
    }
    Ok(())
}

/// Searches that were answered, those of them with documents of another search, and of another client's.
type Totals = Arc<Mutex<(usize, usize, usize)>>;

fn query(word: &str) -> String {
    format!("{{\"query\":{{\"match\":{{\"cue\":\"{word}\"}}}},\"size\":20}}")
}

/// The client that asked for a word.
fn client_of(word: &str) -> &str {
    word.split('x').next().unwrap_or_default()
}

/// Sends one request with one or more searches, and checks that each answer has documents of its own search.
fn ask(address: SocketAddr, target: &str, words: &[String], body: &str, record: &Record, totals: &Totals) {
    let text = format!(
        "{target} HTTP/1.1\r\nHost: backend.local\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.line(format!("a client asks for {words:?}"));
    let answer = match call(address, &text, Duration::from_secs(12)) {
        Ok((200, _, answer)) => answer,
        other => return record.line(format!("{words:?}: {other:?}")),
    };
    record.line(format!("{words:?}: answered 200, {} bytes", answer.len()));
    // The answers stand in the order of the searches; each begins with its summary of the shards.
    for (word, part) in words.iter().zip(answer.split("\"_shards\"").skip(1)) {
        let others: Vec<&str> = part
            .split("\"cue\":\"")
            .skip(1)
            .filter_map(|rest| rest.split('"').next())
            .filter(|found| found != word)
            .collect();
        let of_others = others.iter().any(|other| client_of(other) != client_of(word));
        let mut totals = totals.lock().unwrap();
        totals.0 += 1;
        totals.1 += usize::from(!others.is_empty());
        totals.2 += usize::from(of_others);
        if !others.is_empty() {
            record.line(format!(
                "FOREIGN: the search for {word} is answered with documents for {others:?}: {part}"
            ));
        }
    }
}

/// Whether no byte of a further request has come on a node's connection.
fn nothing_waits(reader: &BufReader<TcpStream>) -> io::Result<bool> {
    let stream = reader.get_ref();
    stream.set_nonblocking(true)?;
    let waits = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(reader.buffer().is_empty() && waits.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock))
}

fn main() {
    run_case(|folder: &Path, record: &Record| {
        let answers = Arc::new(AtomicU64::new(0));
        let mut entries = Vec::new();
        for at in 0..12 {
            let name = format!("os-{at}");
            let address = start_node(&name, record, &answers)?;
            entries.push(Entry { name, address, cell: at % 4, lifecycle: "SERVING" });
        }
        let agent = Agent::start(&entries, record)?;
        let listen = free_address()?;
        let operator = folder.join("operator.json5");
        std::fs::write(
            &operator,
            r#"{ dialect: { nodes: ["os-*"], indices: { cues: { searches: "library-search", edits: "cue-fix", customer: "cliente-uno", partial: true } } } }"#,
        )?;
        let config = config("n0", listen, agent.address, &list_json(1, true, &entries));
        let mixer =
            start_mixer(folder, "n0", &config, listen, &format!("--operator {}", operator.display()))?;
        let totals: Totals = Arc::default();
        let address = mixer.address;
        // One client sends several searches in a request; the others send one at a time.
        let mut clients = vec![{
            let (record, totals) = (record.clone(), totals.clone());
            thread::spawn(move || {
                for request in 0..REQUESTS {
                    let words: Vec<String> =
                        (0..4).map(|search| format!("word0m{request}x{search}")).collect();
                    let body: String = words
                        .iter()
                        .map(|word| format!("{{\"index\":\"cues\"}}\n{}\n", query(word)))
                        .collect();
                    ask(address, "POST /_msearch", &words, &body, &record, &totals);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        }];
        clients.extend((0..CLIENTS).map(|client| {
            let (record, totals) = (record.clone(), totals.clone());
            thread::spawn(move || {
                for request in 0..4 * REQUESTS {
                    let word = format!("word0c{client}x{request}");
                    let body = query(&word);
                    ask(address, "POST /cues/_search", &[word], &body, &record, &totals);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        }));
        clients.into_iter().for_each(|client| drop(client.join()));
        let (served, foreign, of_others) = *totals.lock().unwrap();
        record.line(format!(
            "{served} searches answered, {foreign} of them with documents of another search, {of_others} with another client's"
        ));
        if served == 0 {
            return Err(io::Error::other("no search was answered"));
        }
        Ok(foreign > 0)
    })
}
