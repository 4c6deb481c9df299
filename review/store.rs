//! Stand-in of the platform's store: objects by kind and name, lists and watches.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::Conn;

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Existing objects as JSON, with the revision of their last change.
    live: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, object and whether it was removed.
    history: Vec<(u64, String, String, bool)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"delete-requested\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Name and content of an object that a daemon writes.
fn name_and_spec(body: &str) -> Option<(String, String)> {
    let name = body.split("\"name\":\"").nth(1)?.split('"').next()?;
    let spec = body.split("\"spec\":").nth(1)?;
    // Daemons write {"metadata":{...},"spec":{...}}.
    let spec = &spec[..=spec[..spec.rfind('}')?].rfind('}')?];
    Some((name.to_owned(), spec.to_owned()))
}

impl Store {
    pub fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let objects: Arc<(Mutex<Objects>, Condvar)> = Arc::default();
        let store = Self { address, objects };
        let served = store.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Conn::new(tcp)));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) -> String {
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().expect("lock the objects");
        objects.revision += 1;
        let revision = objects.revision;
        let text = object(name, revision, spec);
        let key = (kind.to_owned(), name.to_owned());
        objects.live.insert(key, (revision, text.clone()));
        objects
            .history
            .push((revision, kind.to_owned(), text.clone(), false));
        changed.notify_all();
        text
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().expect("lock the objects");
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, text)) = objects.live.remove(&key) {
            objects.revision += 1;
            let revision = objects.revision;
            objects
                .history
                .push((revision, kind.to_owned(), text, true));
            changed.notify_all();
        }
    }

    fn serve(&self, mut conn: Conn) {
        let idle = Duration::from_secs(60);
        while let Ok(head) = conn.read_head(Instant::now() + idle) {
            let Ok(body) = conn.read_whole_body(&head, Instant::now() + idle) else {
                return;
            };
            thread::sleep(Duration::from_millis(4));
            let (status, text) = self.answer(&head.target(), &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            );
            if conn.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, (method, target): &(&str, &str), body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let rest = path.trim_start_matches("/bluebelldrift/objects/");
        let kind = rest.split('/').next().unwrap_or("");
        let number = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name)?.1.parse().ok()
        };
        if *method != "GET" {
            let Some((name, spec)) = name_and_spec(body) else {
                return (400, "{}".to_owned());
            };
            let known = {
                let objects = self.objects.0.lock().expect("lock the objects");
                let key = (kind.to_owned(), name.clone());
                objects.live.get(&key).map(|(_, text)| text.clone())
            };
            return match known {
                Some(text) if *method == "POST" => (409, text),
                _ => (200, self.put(kind, &name, &spec)),
            };
        }
        let (lock, changed) = &*self.objects;
        let mut objects = lock.lock().expect("lock the objects");
        let Some(from) = number("watch") else {
            let of_kind = objects.live.iter().filter(|((k, _), _)| k == kind);
            let items: Vec<&str> = of_kind.map(|(_, (_, text))| text.as_str()).collect();
            let (items, at) = (items.join(","), objects.revision);
            return (
                200,
                format!("{{\"items\":[{items}],\"has-more\":false,\"at\":{at}}}"),
            );
        };
        let deadline = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        loop {
            let newer = objects
                .history
                .iter()
                .filter(|(at, k, ..)| *at > from && k == kind);
            let events: Vec<String> = newer
                .map(|(.., text, gone)| format!("{{\"object\":{text},\"tombstone\":{gone}}}"))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), objects.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            objects = changed.wait_timeout(objects, left).expect("wait").0;
        }
    }
}
