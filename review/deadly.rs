//! A request crashes each server that begins to run it, while the server writes its answer. The
//! daemon sends it on to one server after the other.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Head},
    store::Store,
    world::{Client, Daemon, End, Record, Stop, configure, finish, free_port, temporary_folder},
};

const SERVERS: usize = 4;
/// Clients with sound bookings, each with one at a time.
const CLIENTS: usize = 12;
/// Time from one try of the deadly request to the next.
const TRY_EVERY: Duration = Duration::from_millis(2000);
/// Time after which a crashed server is back, and after which its old entry is gone: three
/// check-in intervals.
const BACK_AFTER: Duration = Duration::from_secs(3);
const ENTRY_FOR: Duration = Duration::from_millis(3600);
const END_AT: Duration = Duration::from_secs(45);
/// `contact-ms`.
const CONTACT: Duration = Duration::from_secs(4);
/// Retries that the rule allows from then on.
const ALLOWED: usize = 3;

/// What servers have seen of the deadly request.
#[derive(Default)]
struct Deadly {
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
    /// Sound requests that were running at a server when it crashed.
    sound_lost: usize,
}

/// A plain server, through all of its lifetimes.
struct Host {
    number: usize,
    address: SocketAddr,
    lifetime: Mutex<u64>,
    channels: Mutex<Vec<TcpStream>>,
    has_trouble: bool,
    deadly: Arc<Mutex<Deadly>>,
    store: Store,
    record: Arc<Record>,
}

impl Host {
    fn id_of(&self, lifetime: u64) -> String {
        format!("plain-{}-{lifetime}", self.number)
    }

    fn register(&self, lifetime: u64) {
        let spec = format!(
            "{{\"service\":\"ordrebok\",\"address\":\"{}\",\"zone\":\"nord-tromso\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\
             \"sequence\":4,\"born\":1}}",
            self.address
        );
        self.store.put("servers", &self.id_of(lifetime), &spec);
    }

    /// Serves lifetime after lifetime. While the server is down, its port is closed.
    fn run(self: Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        for lifetime in 0.. {
            let open = listener
                .take()
                .unwrap_or_else(|| TcpListener::bind(self.address).expect("bind the port again"));
            open.set_nonblocking(true).expect("set the listener up");
            self.register(lifetime);
            while *self.lifetime.lock().expect("lock") == lifetime {
                match open.accept() {
                    Ok((tcp, _)) => {
                        let _ = tcp.set_nonblocking(false);
                        self.channels.lock().expect("lock").extend(tcp.try_clone());
                        let host = self.clone();
                        thread::spawn(move || host.serve(Conn::new(tcp), lifetime));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(open);
            let (host, old) = (self.clone(), self.id_of(lifetime));
            thread::spawn(move || {
                thread::sleep(ENTRY_FOR);
                host.store.remove("servers", &old);
            });
            thread::sleep(BACK_AFTER);
        }
    }

    fn crash(&self, lifetime: u64) {
        let mut current = self.lifetime.lock().expect("lock");
        if *current != lifetime {
            return;
        }
        *current += 1;
        for channel in self.channels.lock().expect("lock").drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.record
            .note(&format!("server {} crashes", self.id_of(lifetime)));
        self.deadly
            .lock()
            .expect("lock")
            .crashes
            .push(Instant::now());
    }

    fn serve(&self, mut conn: Conn, lifetime: u64) {
        let limit = Duration::from_secs(30);
        while let Ok(head) = conn.read_head(Instant::now() + limit) {
            let body = conn.read_whole_body(&head, Instant::now() + limit);
            if body.is_err() || self.answer(&mut conn, &head, lifetime).is_err() {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, head: &Head, lifetime: u64) -> io::Result<()> {
        let own = self.id_of(lifetime);
        let id = head.get("bluebelldrift-request-id").unwrap_or("");
        if head
            .get("bluebelldrift-expect-instance")
            .is_some_and(|e| e != own)
        {
            return conn.write(
                b"HTTP/1.1 421 X\r\nbluebelldrift-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
            );
        }
        let is_deadly = head.target().1 == "/booking/deadly";
        self.record
            .note(&format!("server {own} gets {id} deadly={is_deadly}"));
        if is_deadly {
            self.deadly
                .lock()
                .expect("lock")
                .arrivals
                .push(Instant::now());
        }
        thread::sleep(Duration::from_millis(15));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nbluebelldrift-request-id: {id}\r\n\
             bluebelldrift-response-seal: seal-{id}\r\nbluebelldrift-instance-id: {own}\r\n\
             content-length: 800\r\n\r\n"
        );
        if is_deadly && self.has_trouble {
            conn.write(answer.as_bytes())?;
            conn.write(&[b'a'; 400])?;
            thread::sleep(Duration::from_millis(2));
            self.crash(lifetime);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if *self.lifetime.lock().expect("lock") != lifetime {
            self.deadly.lock().expect("lock").sound_lost += 1;
            self.record
                .note(&format!("server {own} was running {id} when it crashed"));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        conn.write(answer.as_bytes())?;
        conn.write(&[b'a'; 800])
    }
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let dir = temporary_folder();
    let store = Store::open();
    configure(&store);
    let deadly: Arc<Mutex<Deadly>> = Arc::default();
    for number in 0..SERVERS {
        let listener = TcpListener::bind(("127.0.0.1", free_port())).expect("bind a server");
        let host = Arc::new(Host {
            number,
            address: listener.local_addr().expect("address of a server"),
            lifetime: Mutex::new(0),
            channels: Mutex::default(),
            has_trouble,
            deadly: deadly.clone(),
            store: store.clone(),
            record: record.clone(),
        });
        thread::spawn(move || host.run(listener));
    }
    thread::sleep(Duration::from_millis(200));
    let daemon = Daemon::start("edge-nord-tromso-1", &store, &dir);
    if !daemon.wait_until_ready() {
        finish(record, 2, "the daemon did not become ready");
    }
    let stop = Stop::default();
    let (limit, body) = (Duration::from_millis(1200), [b'b'; 600]);
    let sound: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, record, front) = (stop.clone(), record.clone(), daemon.front);
            thread::spawn(move || {
                let mut client = Client::new(format!("c{number}"), front, &record);
                let mut asked = Vec::new();
                while !stop.is_set() {
                    let path = format!("/booking/c{number}");
                    asked.extend(client.ask("POST", &path, "", &body, limit, limit));
                    thread::sleep(Duration::from_millis(60));
                }
                asked
            })
        })
        .collect();
    let began = Instant::now();
    let mut tries = 0;
    while began.elapsed() < END_AT {
        // The same path, caller and body each time, on a new channel with a new id.
        let mut client = Client::new(format!("deadly-{tries}"), daemon.front, record);
        let _ = client.ask("POST", "/booking/deadly", "", &[b'd'; 600], limit, limit);
        tries += 1;
        thread::sleep(TRY_EVERY);
    }
    stop.set();
    let sound = sound.into_iter().filter_map(|c| c.join().ok()).flatten();
    let sound: Vec<_> = sound.collect();
    daemon.kill();
    let seen = deadly.lock().expect("lock");
    let late = seen.crashes.get(2).map_or(0, |third| {
        let late = seen.arrivals.iter().filter(|at| **at > *third + CONTACT);
        late.count()
    });
    let answered = sound.iter().filter(|a| a.end == End::Answered(200)).count();
    let summary = format!(
        "tries={tries} reached={} crashes={} late={late} allowed={ALLOWED} sound={} \
         answered={answered} running_at_crashes={}",
        seen.arrivals.len(),
        seen.crashes.len(),
        sound.len(),
        seen.sound_lost
    );
    drop(seen);
    if answered < 50 || (has_trouble && tries < 10) {
        finish(record, 2, &format!("too little traffic: {summary}"));
    }
    finish(record, i32::from(late > ALLOWED), &summary)
}
