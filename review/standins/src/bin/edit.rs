//! An edit that arrives through the query API, and a connection to a node that is reset under it.

use review_standins::*;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const EDITS: usize = 10;
/// The document under whose first edit the connection is cut.
const CUT: &str = "cue-4";

/// The edits that nodes saved: node and document.
type Saved = Arc<Mutex<Vec<(String, String)>>>;

/// A node that speaks the query API. It saves each edit that it has received whole; with `cuts`, the
/// connection ends before the answer to the edit of one document, once among all nodes.
fn start_node(name: &str, record: &Record, saved: &Saved, cuts: bool) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (name, record, saved) = (name.to_string(), record.clone(), saved.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, saved) = (name.clone(), record.clone(), saved.clone());
            thread::spawn(move || {
                let _ = serve_node(stream, &name, &record, &saved, cuts);
            });
        }
    });
    Ok(address)
}

fn serve_node(stream: TcpStream, name: &str, record: &Record, saved: &Saved, cuts: bool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((start_line, headers, body)) = read_message(&mut reader)? {
        let words: Vec<&str> = start_line.split(' ').collect();
        let path = words[1].split('?').next().unwrap_or_default();
        let answer = match path.strip_prefix("/cues/_update/") {
            Some(document) => {
                let key = headers.get("idempotency-key").cloned().unwrap_or_default();
                let text = String::from_utf8_lossy(&body).into_owned();
                let first = {
                    let mut saved = saved.lock().unwrap();
                    let first = !saved.iter().any(|(_, other)| other == document);
                    saved.push((name.into(), document.into()));
                    first
                };
                record.line(format!("{name} received and saved the edit of {document}, key {key}: {text}"));
                thread::sleep(Duration::from_millis(20));
                if cuts && first && document == CUT {
                    record.line(format!(
                        "the connection to {name} is cut before its answer to the edit of {document}"
                    ));
                    return Ok(());
                }
                format!(
                    r#"{{"_index":"cues","_id":"{document}","_version":2,"result":"updated","_shards":{{"total":1,"successful":1,"failed":0}},"_seq_no":1,"_primary_term":1}}"#
                )
            }
            None => r#"{"name":"n","version":{"distribution":"opensearch","number":"2.11.0"}}"#.to_string(),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            answer.len()
        );
        writer.write_all((head + &answer).as_bytes())?;
    }
    Ok(())
}

fn main() {
    run_case(|folder: &Path, record: &Record| {
        let saved = Saved::default();
        // Three nodes of each cell, as in the brief.
        let mut entries = Vec::new();
        for at in 0..12 {
            let name = format!("os-{at}");
            let address = start_node(&name, record, &saved, trouble())?;
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
        for edit in 0..EDITS {
            let document = format!("cue-{edit}");
            let body = format!(r#"{{"doc":{{"cue":"corrected text {edit}"}}}}"#);
            let request = format!(
                "POST /cues/_update/{document} HTTP/1.1\r\nHost: backend.local\r\nContent-Type: application/json\r\nIdempotency-Key: key-{edit}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            record.line(format!("a client sends the edit of {document}, once"));
            let answer = call(mixer.address, &request, Duration::from_secs(6));
            record.line(match answer {
                Ok((status, _, body)) => format!("the client is answered {status} {body}"),
                Err(error) => format!("the client has no answer: {error}"),
            });
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(3));
        let saved = saved.lock().unwrap();
        let mut resent = 0;
        for edit in 0..EDITS {
            let document = format!("cue-{edit}");
            let nodes: Vec<&str> =
                saved.iter().filter(|(_, other)| *other == document).map(|(node, _)| node.as_str()).collect();
            if nodes.is_empty() && !trouble() {
                return Err(io::Error::other(format!("the edit of {document} reached no node")));
            }
            resent += usize::from(nodes.len() > 1);
            record.line(format!("the edit of {document} was received whole by {nodes:?}"));
        }
        record
            .line(format!("{resent} of {EDITS} edits were sent again after a node had received them whole"));
        Ok(resent > 0)
    })
}
