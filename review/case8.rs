//! Case 8: a server whose answers have no length crashes while it writes some of them.

#[path = "lab2.rs"]
mod lab2;

use std::{
    io::{self, BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, Command, ExitCode, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use lab2::*;

/// One server of six crashes at a time: the share of `srv_crash` on the site is 0.17.
const SERVERS: usize = 6;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// A body of 1,200 bytes in six pieces; the work of a request takes up to 110 ms on the site.
const PIECES: usize = 6;
const PIECE: usize = 200;
const PAUSE: Duration = Duration::from_millis(15);
/// Requests a second: those of one zone of the site.
const RATE: f64 = 15.0;
const SECONDS: f64 = 42.0;
/// Times of the crashes; the server is back some seconds later, under another id.
const CRASHES: [f64; 6] = [3.0, 9.0, 15.0, 21.0, 27.0, 33.0];
const BACK_AFTER: f64 = 4.5;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("server") if args.len() == 3 => {
            run_server(&args[2]);
            ExitCode::SUCCESS
        }
        Some(folder) => play(folder),
        None => ExitCode::from(2),
    }
}

fn whole_body(id: &str) -> String {
    let text = format!("{id}:{}", "0123456789".repeat(PIECES * PIECE / 10));
    text[..PIECES * PIECE].to_owned()
}

/// Answers without a length: the end of the connection ends the body.
fn run_server(id: &str) {
    let handler: Handler = Arc::new(|_, request, tcp| {
        let id = request
            .header("bluebelldrift-request-id")
            .unwrap_or("-")
            .to_owned();
        println!("runs {id}");
        write!(
            tcp,
            "HTTP/1.1 200 OK\r\nBluebelldrift-Request-Id: {id}\r\nBluebelldrift-Response-Seal: seal-{id}\r\n\
             Connection: close\r\n\r\n"
        )?;
        for piece in whole_body(&id).as_bytes().chunks(PIECE) {
            thread::sleep(PAUSE);
            tcp.write_all(piece)?;
        }
        println!("has written the whole answer of {id}");
        Ok(false)
    });
    let server = Server::start(id, &Record::create("/dev/null"), handler);
    println!("address {}", server.address);
    loop {
        thread::sleep(Duration::from_secs(1));
    }
}

struct Process {
    id: String,
    zone: &'static str,
    address: SocketAddr,
    child: Child,
}

impl Process {
    fn spawn(id: &str, zone: &'static str, record: &Record) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["server", id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut output = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?);
        let mut line = String::new();
        output.read_line(&mut line)?;
        let address = line
            .trim()
            .rsplit(' ')
            .next()
            .unwrap_or("")
            .parse()
            .map_err(io::Error::other)?;
        let (record, name) = (record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.line(&format!("{name}: {line}"));
            }
        });
        Ok(Self {
            id: id.to_owned(),
            zone,
            address,
            child,
        })
    }

    fn write_entry(&self, store: &Store, sequence: usize) {
        let entry = format!(
            "{{\"service\":\"app\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":1}}",
            self.address, self.zone
        );
        store.put("servers", &self.id, &entry);
    }

    /// SIGKILL.
    fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.crash();
    }
}

fn play(folder: &str) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::create(&format!("{folder}/record.txt"));
    let temporary = Temporary::new();
    let store = Store::start();
    store.put("config", "main", &config(1));
    let spawn = |i: usize| Process::spawn(&format!("i-app{i}"), ZONES[i % ZONES.len()], &record);
    let Ok(mut servers) = (0..SERVERS)
        .map(spawn)
        .collect::<io::Result<Vec<Process>>>()
    else {
        return could_not_run(&record, "a server did not start");
    };
    for server in &servers {
        server.write_entry(&store, 1);
    }
    let mut gateway = Gateway::new(&temporary.0, &store, &Machine::alone());
    gateway.start();
    if !gateway.wait_ready(15) {
        return could_not_run(&record, "the gateway is not ready");
    }

    let began = Instant::now();
    let mut clients = Vec::new();
    let mut crashes = CRASHES.iter().peekable();
    let mut down_since: Option<f64> = None;
    let mut beats = 1;
    for number in 0..(RATE * SECONDS) as usize {
        let due = began + Duration::from_secs_f64(number as f64 / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let now = began.elapsed().as_secs_f64();
        if now > 1.2 * f64::from(beats) {
            beats += 1;
            let up = servers.iter().skip(usize::from(down_since.is_some()));
            up.for_each(|server| server.write_entry(&store, beats as usize));
        }
        if let Some(since) = down_since {
            // An entry goes after three check-in intervals of silence.
            if now - since > 3.6 {
                store.remove("servers", &servers[0].id);
            }
            if now - since > BACK_AFTER {
                down_since = None;
                let id = format!("i-app0-{number}");
                let Ok(server) = Process::spawn(&id, ZONES[0], &record) else {
                    return could_not_run(&record, "a server did not start again");
                };
                servers[0] = server;
                servers[0].write_entry(&store, 1);
            }
        }
        let (to, lines) = (gateway.callers, record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("req-{number:03}");
            let (method, path, body) = if number % 3 == 0 {
                ("GET", "/look/a", "")
            } else {
                ("POST", "/book/a", "x")
            };
            lines.line(&format!("client sends {id} {method} {path}"));
            let answer = send(to, method, path, &id, 1_200, "", body);
            lines.line(&format!(
                "client {id}: status={} bytes={} after {} ms {}",
                answer.status,
                answer.body.len(),
                answer.took_ms,
                answer.error
            ));
            (id, method, answer)
        }));
        if has_trouble && down_since.is_none() && crashes.next_if(|at| now > **at).is_some() {
            // At any moment between two requests.
            thread::sleep(Duration::from_millis(u64::from(
                began.elapsed().subsec_nanos() / 1_000 % 60,
            )));
            record.line(&format!("{} crashes", servers[0].id));
            servers[0].crash();
            down_since = Some(began.elapsed().as_secs_f64());
        }
    }
    let mut broken = 0;
    for client in clients {
        let Ok((id, method, answer)) = client.join() else {
            return could_not_run(&record, "a client failed");
        };
        let whole = whole_body(&id);
        if answer.status == 200 && answer.body != whole.as_bytes() {
            broken += 1;
            let length = answer
                .headers
                .iter()
                .find(|(name, _)| name == "content-length");
            record.say(&format!(
                "MIXED: {method} {id} got 200 with content-length {:?} and {} bytes; the server's whole body has {}",
                length.map(|(_, value)| value.as_str()),
                answer.body.len(),
                whole.len()
            ));
        }
    }
    record.say(&format!("{broken} answers break the rule MIXED"));
    ExitCode::from(u8::from(broken > 0))
}
