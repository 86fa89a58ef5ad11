//! Stand-ins of the platform (store, executors, clients) and the cases of the third review that run
//! against the real programs. It uses the standard library alone; `build-3.sh` compiles it.
//!
//! `standins-3 CASE FOLDER` plays a case and writes `record.txt` into the folder. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it plays the same without the disruption.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

// The bounds of the site gt-basilrack that the stand-ins and the checks use.
const HOLD_MAX_MS: u64 = 6_000;
const STOP_TIMEOUT_MS: u64 = 200;
const STATUS_S: u64 = 120;
const FINISH_MS: u64 = 14_000;
const HEARTBEAT_MS: u64 = 1_500;
const STORE_ANSWER_MS: u64 = 4;

/// Time limit of a whole case.
const CASE_LIMIT: Duration = Duration::from_secs(112);
const HOST: &str = "jobs.example";
const KEY: &str = "3hh2b9wu3fexd9dnn2ct";

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

// ---------------------------------------------------------------------------------------------
// JSON

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(number) => Some(*number as u64),
            _ => None,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(number) if number.fract() == 0.0 => {
                let _ = write!(out, "{}", *number as i64);
            }
            Json::Num(number) => {
                let _ = write!(out, "{number}");
            }
            Json::Text(text) => {
                out.push('"');
                for sign in text.chars() {
                    match sign {
                        '"' => out.push_str("\\\""),
                        '\\' => out.push_str("\\\\"),
                        sign if (sign as u32) < 32 => {
                            let _ = write!(out, "\\u{:04x}", sign as u32);
                        }
                        sign => out.push(sign),
                    }
                }
                out.push('"');
            }
            Json::List(list) => {
                out.push('[');
                for (at, item) in list.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Map(map) => {
                out.push('{');
                for (at, (name, item)) in map.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    Json::Text(name.clone()).write(out);
                    out.push(':');
                    item.write(out);
                }
                out.push('}');
            }
        }
    }

    fn encode(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|byte| byte.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(bytes, at)? else { return None };
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        map.insert(name, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8(text).ok()?));
                    }
                    b'\\' => {
                        let sign = *bytes.get(*at + 1)?;
                        *at += 2;
                        match sign {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'b' => text.push(8),
                            b'f' => text.push(12),
                            b'u' => {
                                let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(digits, 16).ok()?;
                                *at += 4;
                                let sign = char::from_u32(code).unwrap_or('?');
                                let mut buffer = [0; 4];
                                text.extend_from_slice(sign.encode_utf8(&mut buffer).as_bytes());
                            }
                            sign => text.push(sign),
                        }
                    }
                    byte => {
                        text.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn text(value: &str) -> Json {
    Json::Text(value.to_owned())
}

fn num(value: u64) -> Json {
    Json::Num(value as f64)
}

fn map(fields: &[(&str, Json)]) -> Json {
    Json::Map(fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone())).collect())
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for piece in bytes.chunks(3) {
        let word = (u32::from(piece[0]) << 16)
            | (u32::from(*piece.get(1).unwrap_or(&0)) << 8)
            | u32::from(*piece.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= piece.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// HTTP

struct Call {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: Json,
}

type Answer = Option<(u16, Json)>;

/// A listening port that can go down, as a crashed process does, and come back.
#[derive(Clone)]
struct Port {
    address: SocketAddr,
    up: Arc<AtomicBool>,
    listening: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Port {
    fn open(handler: impl Fn(&Call) -> Answer + Send + Sync + 'static) -> io::Result<Port> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let port = Port {
            address,
            up: Arc::new(AtomicBool::new(true)),
            listening: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
        };
        let (serving, handler) = (port.clone(), Arc::new(handler));
        thread::spawn(move || serving.serve(Some(listener), handler));
        Ok(port)
    }

    fn serve<H>(&self, mut first: Option<TcpListener>, handler: Arc<H>)
    where
        H: Fn(&Call) -> Answer + Send + Sync + 'static,
    {
        loop {
            let listener = match first.take().map(Ok).unwrap_or_else(|| TcpListener::bind(self.address)) {
                Ok(listener) => listener,
                Err(_) => {
                    sleep(ms(2));
                    continue;
                }
            };
            let _ = listener.set_nonblocking(true);
            self.listening.store(true, Ordering::SeqCst);
            while self.up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(kept) = stream.try_clone() {
                            lock(&self.streams).push(kept);
                        }
                        let (port, handler) = (self.clone(), Arc::clone(&handler));
                        thread::spawn(move || port.converse(stream, &*handler));
                    }
                    Err(_) => sleep(ms(1)),
                }
            }
            drop(listener);
            for stream in lock(&self.streams).drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            self.listening.store(false, Ordering::SeqCst);
            while !self.up.load(Ordering::SeqCst) {
                sleep(ms(1));
            }
        }
    }

    fn converse(&self, mut stream: TcpStream, handler: &dyn Fn(&Call) -> Answer) {
        let mut buffer = Vec::new();
        while let Some(call) = read_call(&mut stream, &mut buffer) {
            let answer = handler(&call);
            if !self.up.load(Ordering::SeqCst) {
                break;
            }
            let Some((status, body)) = answer else { break };
            let body = body.encode();
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Closes the port and its connections.
    fn close(&self) {
        self.up.store(false, Ordering::SeqCst);
        while self.listening.load(Ordering::SeqCst) {
            sleep(ms(1));
        }
    }

    fn reopen(&self) {
        self.up.store(true, Ordering::SeqCst);
        while !self.listening.load(Ordering::SeqCst) {
            sleep(ms(1));
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut piece = [0; 16 << 10];
    let count = stream.read(&mut piece).ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&piece[..count]);
    Some(())
}

/// Reads a head and its body; returns the first line, the headers and the body.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<(String, BTreeMap<String, String>, Vec<u8>)> {
    let end = loop {
        match find(buffer, b"\r\n\r\n") {
            Some(end) => break end,
            None => fill(stream, buffer)?,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    };
    let headers: BTreeMap<String, String> = lines.filter_map(header).collect();
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < end + 4 + length {
        fill(stream, buffer)?;
    }
    let body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some((first, headers, body))
}

fn decode_query(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
        match code {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_call(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Call> {
    let (first, headers, body) = read_message(stream, buffer)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (decode_query(name), decode_query(value)))
        .collect();
    let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
    Some(Call { method, path: path.to_owned(), query, headers, body })
}

/// Makes one call on a connection of its own; `None` if no response arrives.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(
        head,
        "content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null)))
}

// ---------------------------------------------------------------------------------------------
// Record

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
struct Record {
    origin: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    fn create(folder: &Path) -> io::Result<Record> {
        let file = fs::File::create(folder.join("record.txt"))?;
        Ok(Record { origin: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    fn note(&self, line: &str) {
        let at = self.origin.elapsed().as_millis();
        let _ = writeln!(lock(&self.file), "{:>4}.{:03} s  {line}", at / 1_000, at % 1_000);
    }
}

// ---------------------------------------------------------------------------------------------
// Store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// The platform's metadata store.
#[derive(Clone)]
struct Store {
    state: Arc<Mutex<StoreState>>,
}

fn item_json(key: &str, item: &Item) -> Json {
    map(&[
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, Json) {
        let (conditions, writes, deletes) = (
            body.get("precondition").list(),
            body.get("writes").list(),
            body.get("deletes").list(),
        );
        if conditions.len() + writes.len() + deletes.len() > 32 {
            return (400, Json::Null);
        }
        let keys = writes.iter().map(|row| row.get("key").text());
        let mut keys = keys.chain(deletes.iter().map(Json::text));
        if keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, Json::Null);
        }
        let holds = |row: &Json| {
            let revision = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            row.get("revision").u64() == Some(revision)
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(item_json(key, self.items.get(key)?)));
            return (412, map(&[("items", Json::List(items.collect()))]));
        }
        let lease_of = |row: &Json| row.get("lease").u64().unwrap_or(0);
        if writes.iter().map(lease_of).any(|lease| lease != 0 && !self.leases.contains_key(&lease)) {
            return (404, Json::Null);
        }
        self.revision += 1;
        for row in writes {
            self.put(row.get("key").text(), row.get("value").text().to_owned(), lease_of(row));
        }
        for key in deletes {
            self.remove(key.text());
        }
        (200, map(&[("revision", num(self.revision))]))
    }
}

impl Store {
    fn new() -> Store {
        let state = StoreState { revision: 1, next_lease: 70_000, ..StoreState::default() };
        let store = Store { state: Arc::new(Mutex::new(state)) };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                lock(&expiring.state).expire();
                sleep(ms(5));
            }
        });
        store
    }

    /// Writes as the operator or an executor does.
    fn put(&self, key: &str, value: &Json) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.put(key, base64(value.encode().as_bytes()), 0);
    }

    fn remove(&self, key: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        state.remove(key);
    }

    fn answer(&self, call: &Call) -> Answer {
        if call.path != "/-/kv-watch" {
            sleep(ms(STORE_ANSWER_MS));
        }
        let query = |name: &str| call.query.get(name).cloned().unwrap_or_default();
        let mut state = lock(&self.state);
        state.expire();
        let answer = match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/-/kv-key") => match state.items.get(&query("key")) {
                Some(item) => {
                    let mut body = item_json(&query("key"), item);
                    if let Json::Map(fields) = &mut body {
                        fields.insert("storeRevision".to_owned(), num(state.revision));
                    }
                    (200, body)
                }
                None => (404, map(&[("storeRevision", num(state.revision))])),
            },
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let found = found.filter(|(key, _)| after.is_empty() || **key > after);
                let mut items: Vec<Json> =
                    found.take(501).map(|(key, item)| item_json(key, item)).collect();
                let more = items.len() > 500;
                items.truncate(500);
                let fields = [
                    ("items", Json::List(items)),
                    ("hasMore", Json::Bool(more)),
                    ("storeRevision", num(state.revision)),
                ];
                (200, map(&fields))
            }
            ("GET", "/-/kv-watch") => {
                let prefix = query("prefix");
                let after: u64 = query("after").parse().unwrap_or(0);
                let end = Instant::now() + ms(query("waitMs").parse().unwrap_or(0));
                loop {
                    let changes = state.history.iter().rev().take_while(|row| row.0 > after);
                    let mut events: Vec<Json> = changes
                        .filter(|(_, key, _)| key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => map(&[
                                ("key", text(key)),
                                ("revision", num(*revision)),
                                ("removed", Json::Bool(true)),
                            ]),
                        })
                        .collect();
                    events.reverse();
                    if !events.is_empty() || Instant::now() >= end {
                        let fields =
                            [("events", Json::List(events)), ("storeRevision", num(state.revision))];
                        break (200, map(&fields));
                    }
                    drop(state);
                    sleep(ms(2));
                    state = lock(&self.state);
                }
            }
            ("POST", "/-/kv-txn") => state.transact(&call.body),
            ("POST", "/-/kv-lease") => {
                let ttl = call.body.get("ttlMs").u64().unwrap_or(0).clamp(1_000, 600_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (ms(ttl), Instant::now() + ms(ttl)));
                (200, map(&[("lease", num(lease)), ("ttlMs", num(ttl))]))
            }
            (method, path) => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match (method, path.starts_with("/-/kv-keep/"), path.starts_with("/-/kv-lease-end/")) {
                    ("POST", true, _) => match state.leases.get_mut(&lease) {
                        Some((ttl, end)) => {
                            *end = Instant::now() + *ttl;
                            (200, map(&[("ttlMs", num(ttl.as_millis() as u64))]))
                        }
                        None => (404, Json::Null),
                    },
                    ("DELETE", _, true) => {
                        let known = state.leases.contains_key(&lease);
                        state.end_lease(lease);
                        (if known { 200 } else { 404 }, map(&[]))
                    }
                    _ => (404, Json::Null),
                }
            }
        };
        Some(answer)
    }
}

// ---------------------------------------------------------------------------------------------
// Executors

/// One lifetime of an executor.
struct Life {
    born: u64,
    origin: Instant,
    kind: String,
    token: u64,
    deadline: u64,
    /// Run number, start and work by task.
    running: BTreeMap<String, (u64, Instant, Duration)>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    highest: BTreeMap<String, u64>,
    /// Whether it has answered a hold, from which the caller learns of this lifetime.
    known: bool,
}

impl Life {
    fn new(kind: &str, born: u64) -> Life {
        Life {
            born,
            origin: Instant::now(),
            kind: kind.to_owned(),
            token: 0,
            deadline: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest: BTreeMap::new(),
            known: false,
        }
    }

    fn clock(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some((run, ..)) = self.running.remove(task) else { return };
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        self.ended.push((self.next_end, task.to_owned(), run, how));
        self.next_end += 1;
    }

    fn advance(&mut self, record: &Record, id: &str) {
        let lapsed = self.clock() >= self.deadline;
        let ends: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, (_, since, work))| match since.elapsed() >= *work {
                true => Some((task.clone(), "done")),
                false => lapsed.then(|| (task.clone(), "lapsed")),
            })
            .collect();
        for (task, how) in ends {
            record.note(&format!("executor {id}: {task} ends {how}"));
            self.end(&task, how);
        }
    }

    fn extend(&mut self, deadline: u64) {
        self.deadline = self.deadline.max(deadline.min(self.clock() + HOLD_MAX_MS));
    }
}

/// A start that an executor has carried out.
#[derive(Clone, Debug)]
struct Start {
    at: Instant,
    executor: String,
    kind: String,
    known: bool,
    /// Whether the end `done` of the task had been taken note of before, on this executor.
    done: bool,
    task: String,
    run: u64,
}

/// An executor. It may crash, and start again under its id and at its address.
#[derive(Clone)]
struct Executor {
    id: String,
    port: Port,
    life: Arc<Mutex<Life>>,
    up: Arc<AtomicBool>,
    /// How far its time of day is ahead at present, in ms.
    ahead_ms: Arc<AtomicI64>,
    rack: String,
    gpu: u64,
    ends: Arc<Mutex<Vec<(String, u64, &'static str)>>>,
    network: Arc<Network>,
    store: Store,
    record: Record,
}

/// The way to an executor, on which starts can be held up. They are carried out late, but not within
/// [`AFTER_START_MS`] of the executor's start.
#[derive(Default)]
struct Network {
    /// Number of further starts to hold up.
    holds: AtomicU64,
    /// Starts that were held up.
    held: Mutex<Vec<Held>>,
    /// Tasks whose end `done` has been taken note of.
    noted: Mutex<BTreeSet<String>>,
}

struct Held {
    due: Instant,
    headers: Vec<(String, String)>,
    body: String,
}

/// Header of a start that was held up.
const LATE: &str = "x-held-up";
/// Minimum time after which a start that was held up is carried out.
const LATE_MS: u64 = 5_000;
/// Minimum time from the start of an executor to a call that was held up before. The owner calls an
/// executor with a start in doubt every 250 ms while that does not answer.
const AFTER_START_MS: u64 = 300;

impl Network {
    /// Holds up a start, if any is to be held up.
    fn hold(&self, id: &str, record: &Record, call: &Call) -> bool {
        let starts = call.path == "/-/run-start" && !call.headers.contains_key(LATE);
        if !starts || self.holds.load(Ordering::SeqCst) == 0 {
            return false;
        }
        self.holds.fetch_sub(1, Ordering::SeqCst);
        let task = call.body.get("task").text();
        record.note(&format!("network to {id}: holds up a start of {task}, which gets no answer"));
        let kept = ["x-basilrack-expect-instance"];
        let headers = kept.iter().filter_map(|name| {
            Some(((*name).to_owned(), call.headers.get(*name)?.clone()))
        });
        lock(&self.held).push(Held {
            due: Instant::now() + ms(LATE_MS),
            headers: headers.collect(),
            body: call.body.encode(),
        });
        true
    }

    /// Carries out what was held up, on connections of its own.
    fn deliver(
        &self,
        id: &str,
        address: SocketAddr,
        up: &AtomicBool,
        life: &Mutex<Life>,
        record: &Record,
    ) {
        loop {
            let is_up = up.load(Ordering::SeqCst) && lock(life).clock() >= AFTER_START_MS;
            let due = {
                let mut held = lock(&self.held);
                let at = held.iter().position(|held| is_up && held.due <= Instant::now());
                at.map(|at| held.remove(at))
            };
            let Some(held) = due else {
                sleep(ms(1));
                continue;
            };
            let mut headers: Vec<(&str, &str)> =
                held.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
            headers.extend([("host", "executor"), (LATE, "1")]);
            let sent = loop {
                match call(address, "POST", "/-/run-start", &headers, &held.body, ms(1_000)) {
                    Some(answer) => break answer,
                    None => sleep(ms(1)),
                }
            };
            record.note(&format!("network to {id}: delivers a start held up, answered {sent:?}"));
        }
    }
}

/// Work of a task, by the job's spec `work=MS`; tasks with the spec `lasts` run on.
fn work_of(spec: &str) -> Duration {
    match spec {
        "lasts" => LASTS,
        _ => ms(spec.strip_prefix("work=").and_then(|text| text.parse().ok()).unwrap_or(1_000)),
    }
}

/// Work of a task that lasts.
const LASTS: Duration = Duration::from_secs(1_000_000);
/// Startup of a task that lasts, after which it is at work.
const STARTUP_MS: u64 = 500;

impl Executor {
    fn open(
        id: &str,
        kind: &str,
        rack: &str,
        gpu: u64,
        store: &Store,
        record: &Record,
        starts: &Arc<Mutex<Vec<Start>>>,
    ) -> io::Result<Executor> {
        let life = Arc::new(Mutex::new(Life::new(kind, unix_ms())));
        let ends: Arc<Mutex<Vec<(String, u64, &'static str)>>> = Arc::default();
        let network: Arc<Network> = Arc::default();
        let handler = {
            let (id, life, record) = (id.to_owned(), Arc::clone(&life), record.clone());
            let (starts, ends) = (Arc::clone(starts), Arc::clone(&ends));
            let network = Arc::clone(&network);
            move |call: &Call| {
                if network.hold(&id, &record, call) {
                    sleep(ms(400));
                    return None;
                }
                executor_answer(&id, &life, &record, &starts, &ends, &network, call)
            }
        };
        let port = Port::open(handler)?;
        let (way, owned, noting) = (Arc::clone(&network), id.to_owned(), record.clone());
        let (address, lived) = (port.address, Arc::clone(&life));
        let up = Arc::new(AtomicBool::new(true));
        let running = Arc::clone(&up);
        thread::spawn(move || way.deliver(&owned, address, &running, &lived, &noting));
        let executor = Executor {
            id: id.to_owned(),
            port,
            life,
            up,
            ahead_ms: Arc::new(AtomicI64::new(0)),
            rack: rack.to_owned(),
            gpu,
            ends,
            network,
            store: store.clone(),
            record: record.clone(),
        };
        let reporting = executor.clone();
        thread::spawn(move || reporting.report_on());
        Ok(executor)
    }

    /// Writes its entry again and again; it is removed after three intervals of silence.
    fn report_on(&self) {
        let mut sequence = 0;
        let mut silent = 0;
        loop {
            if self.up.load(Ordering::SeqCst) {
                silent = 0;
                sequence += 1;
                self.register(sequence);
            } else {
                silent += 1;
                if silent == 3 {
                    self.store.remove(&format!("servers/{}", self.id));
                }
            }
            sleep(ms(HEARTBEAT_MS));
        }
    }

    fn register(&self, sequence: u64) {
        let (born, kind, clock) = {
            let life = lock(&self.life);
            (life.born, life.kind.clone(), life.clock())
        };
        let capacity = map(&[
            ("cpu", num(128_000)),
            ("memMb", num(262_144)),
            ("gpu", num(self.gpu)),
        ]);
        let entry = map(&[
            ("service", text("ticket-hub")),
            ("address", text(&self.port.address.to_string())),
            ("zone", text("zemgale-a")),
            ("version", text("v1")),
            ("slots", num(8)),
            ("state", text("ready")),
            ("coldRemainingMs", num(0)),
            ("capacity", capacity),
            ("labels", Json::List(vec![text(&kind), text(&self.rack)])),
            ("born", num(born)),
            ("clockMs", num(clock)),
            ("sequence", num(sequence)),
        ]);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    fn crash(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.port.close();
        let lost: Vec<String> = {
            let mut life = lock(&self.life);
            let lost = life.running.keys().cloned().collect();
            *life = Life::new(&life.kind, life.born);
            lost
        };
        self.record.note(&format!("executor {}: crashes, and loses {lost:?}", self.id));
    }

    /// Starts again under its id, as an executor of `kind`, and registers at once.
    fn restart(&self, kind: &str) {
        let born = unix_ms().saturating_add_signed(self.ahead_ms.load(Ordering::SeqCst));
        *lock(&self.life) = Life::new(kind, born);
        self.register(1);
        self.port.reopen();
        self.up.store(true, Ordering::SeqCst);
        self.record.note(&format!("executor {}: starts again, kind {kind}, born {born}", self.id));
    }

    /// Lets the tasks of a job that run here fail.
    fn fail(&self, job: &str) {
        let mut life = lock(&self.life);
        let tasks: Vec<String> =
            life.running.keys().filter(|task| task.starts_with(job)).cloned().collect();
        for task in tasks {
            self.record.note(&format!("executor {}: {task} ends failed", self.id));
            life.end(&task, "failed");
        }
    }

    /// Whether it runs a task of the job.
    fn runs(&self, job: &str) -> bool {
        lock(&self.life).running.keys().any(|task| task.starts_with(job))
    }
}

fn executor_answer(
    id: &str,
    life: &Mutex<Life>,
    record: &Record,
    starts: &Mutex<Vec<Start>>,
    ends: &Mutex<Vec<(String, u64, &'static str)>>,
    network: &Network,
    call: &Call,
) -> Answer {
    if call.method == "GET" {
        return Some((200, map(&[])));
    }
    if call.headers.get("x-basilrack-expect-instance").is_some_and(|expected| expected != id) {
        return Some((421, map(&[])));
    }
    let body = &call.body;
    let born = {
        let mut life = lock(life);
        life.advance(record, id);
        let token = body.get("fencingToken").u64().unwrap_or(0);
        if token < life.token {
            let fields = [("clockMs", num(life.clock())), ("reason", text("fence"))];
            return Some((409, map(&fields)));
        }
        life.token = token;
        let (task, run) = (body.get("task").text().to_owned(), body.get("run").u64().unwrap_or(0));
        let deadline = body.get("deadlineMs").u64().unwrap_or(0);
        let plain = |life: &Life| Some((200, map(&[("clockMs", num(life.clock()))])));
        let refuse = |life: &Life, reason: &str| {
            Some((409, map(&[("clockMs", num(life.clock())), ("reason", text(reason))])))
        };
        match call.path.as_str() {
            "/-/run-start" => {
                let has = life.running.get(&task).is_some_and(|(current, ..)| *current == run);
                if !has {
                    if life.highest.get(&task).is_some_and(|highest| run <= *highest) {
                        life.extend(deadline);
                        return refuse(&life, "old");
                    }
                    if deadline <= life.clock() {
                        return refuse(&life, "late");
                    }
                    let work = work_of(body.get("spec").text());
                    life.running.insert(task.clone(), (run, Instant::now(), work));
                    record.note(&format!(
                        "executor {id} (kind {}): starts {task} run {run}",
                        life.kind
                    ));
                    lock(starts).push(Start {
                        at: Instant::now(),
                        executor: id.to_owned(),
                        kind: life.kind.clone(),
                        known: life.known,
                        done: lock(&network.noted).contains(&task),
                        task,
                        run,
                    });
                }
                life.extend(deadline);
                return plain(&life);
            }
            "/-/run-stop" => {
                let highest = life.highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                if life.running.get(&task).is_some_and(|(current, ..)| *current <= run) {
                    record.note(&format!("executor {id}: {task} is stopped"));
                    life.end(&task, "stopped");
                }
                return plain(&life);
            }
            "/-/hold" => {
                if deadline > 0 {
                    life.extend(deadline);
                }
                let seen = body.get("lastSeen").u64().unwrap_or(0);
                for (number, task, _, how) in &life.ended {
                    if *number <= seen && *how == "done" {
                        lock(&network.noted).insert(task.clone());
                    }
                }
                life.ended.retain(|(number, ..)| *number > seen);
            }
            _ => return Some((404, map(&[]))),
        }
        life.born
    };
    let end = Instant::now() + ms(body.get("waitMs").u64().unwrap_or(0).min(2_000));
    loop {
        {
            let mut life = lock(life);
            if life.born != born {
                return None;
            }
            life.advance(record, id);
            if !life.ended.is_empty() || Instant::now() >= end {
                life.known = true;
                let running = life.running.iter().map(|(task, (run, since, work))| {
                    let whole = if *work == LASTS { ms(STARTUP_MS) } else { *work };
                    let percent = since.elapsed().as_millis() * 100 / whole.as_millis().max(1);
                    let percent = num((percent as u64).min(100));
                    Json::List(vec![text(task), num(*run), text(""), percent])
                });
                let running = Json::List(running.collect());
                let finished = life.ended.iter().take(500).map(|(number, task, run, how)| {
                    Json::List(vec![num(*number), text(task), num(*run), text(how), text("")])
                });
                let finished = Json::List(finished.collect());
                for (_, task, run, how) in &life.ended {
                    let row = (task.clone(), *run, *how);
                    let mut listed = lock(ends);
                    if !listed.contains(&row) {
                        listed.push(row);
                    }
                }
                let fields = [
                    ("clockMs", num(life.clock())),
                    ("born", num(life.born)),
                    ("running", running),
                    ("finished", finished),
                ];
                return Some((200, map(&fields)));
            }
        }
        sleep(ms(5));
    }
}

// ---------------------------------------------------------------------------------------------
// The system under test

struct Node {
    name: String,
    callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Node {
    fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new("target/release/basilrackd")
            .args(["host", "--settings"])
            .arg(&self.settings)
            .env("BASILRACK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct World {
    record: Record,
    store: Store,
    nodes: Arc<Mutex<Vec<Node>>>,
    executors: Vec<Executor>,
    starts: Arc<Mutex<Vec<Start>>>,
    folder: PathBuf,
    trouble: bool,
    next: AtomicU64,
}

/// Finds free ports; they stay reserved until all have been found. They are at a loopback address
/// that this process alone uses, so that no outgoing connection takes one of them in the meantime.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let id = std::process::id();
    let own = [127, (id >> 14) as u8 | 1, (id >> 7) as u8 & 127, (id as u8 & 127) | 1];
    let listeners: io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind(SocketAddr::from((own, 0)))).collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

/// A route of the manifest.
struct Route {
    name: &'static str,
    prefix: &'static str,
    priority: u64,
    attempts: u64,
    target_ms: u64,
    stretch: f64,
}

const ROUTES: [Route; 3] = [
    Route {
        name: "r-sort",
        prefix: "/sort/",
        priority: 2,
        attempts: 4,
        target_ms: 3_000,
        stretch: 3.0,
    },
    Route {
        name: "r-weigh",
        prefix: "/weigh/",
        priority: 1,
        attempts: 4,
        target_ms: 1_500,
        stretch: 3.0,
    },
    Route {
        name: "r-check",
        prefix: "/check/",
        priority: 0,
        attempts: 4,
        target_ms: 600,
        stretch: 1.5,
    },
];

fn manifest(guaranteed: u64) -> Json {
    let route = |route: &Route| {
        map(&[
            ("name", text(route.name)),
            ("host", text(HOST)),
            ("prefix", text(route.prefix)),
            ("type", text("non_idempotent")),
            ("timeoutMs", num(3_000)),
            ("targetDurationMs", num(route.target_ms)),
            ("priority", num(route.priority)),
            ("service", text("ticket-hub")),
            ("maxAttempts", num(route.attempts)),
            ("stretch", Json::Num(route.stretch)),
            ("public", Json::Bool(false)),
        ])
    };
    let service = map(&[
        ("name", text("ticket-hub")),
        ("healthPath", text("/health")),
        ("maxConnections", num(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("enforcesCapacity", Json::Bool(false)),
        ("spare", Json::Bool(false)),
    ]);
    let limits = map(&[
        ("maxHeaderBytes", num(16_384)),
        ("maxBodyBytes", num(262_144)),
        ("headerTimeoutMs", num(3_000)),
        ("idleTimeoutMs", num(15_000)),
    ]);
    let tenant = map(&[
        ("name", text("kaje80")),
        ("apiKeys", Json::List(vec![text(KEY)])),
        ("priority", num(1)),
        ("guaranteed", map(&[("gpu", num(guaranteed))])),
    ]);
    map(&[
        ("version", num(3)),
        ("routes", Json::List(ROUTES.iter().map(route).collect())),
        ("services", Json::List(vec![service])),
        ("limits", limits),
        ("tenants", Json::List(vec![tenant])),
    ])
}

impl World {
    /// Starts the store and the executors (id, kind, rack), and then the entry VMs with the command
    /// of the deploy file and settings like those that its template renders.
    fn start(folder: &Path, executors: &[(&str, &str, &str)], guaranteed: u64) -> io::Result<World> {
        let record = Record::create(folder)?;
        let store = Store::new();
        store.put("op/config", &manifest(guaranteed));
        let answering = store.clone();
        let port = Port::open(move |call| answering.answer(call))?;
        let starts: Arc<Mutex<Vec<Start>>> = Arc::default();
        let executors: io::Result<Vec<Executor>> = executors
            .iter()
            .map(|(id, kind, rack)| Executor::open(id, kind, rack, 8, &store, &record, &starts))
            .collect();
        let executors = executors?;
        let own = std::env::temp_dir().join(format!("basilrack-review-{}", std::process::id()));
        fs::create_dir_all(&own)?;
        let addresses = free_addresses(12)?;
        let mut nodes = Vec::new();
        for (number, ports) in addresses.chunks(4).enumerate() {
            let name = format!("front-zemgale-a-{}", number + 1);
            let settings = own.join(format!("{name}.jsonc"));
            let jobs = map(&[
                ("lease", text(&format!("{HOLD_MAX_MS}ms"))),
                ("stop", text(&format!("{STOP_TIMEOUT_MS}ms"))),
                ("drain", text("3000ms")),
                ("cancel", text("3000ms")),
                ("preempt_gangs", Json::Bool(true)),
                ("reservations", num(4)),
                ("retention", text(&format!("{STATUS_S}s"))),
            ]);
            let fields = [
                ("vm", text(&name)),
                ("zone", text("zemgale-a")),
                ("region", text("zemgale")),
                ("callers", text(&ports[0].to_string())),
                ("readiness", text(&ports[1].to_string())),
                ("peers", text(&ports[2].to_string())),
                ("metrics", text(&ports[3].to_string())),
                ("store", text(&port.address.to_string())),
                ("cpu", Json::Num(0.25)),
                ("link_mbps", num(1_000)),
                ("memory_mb", num(260)),
                ("descriptors", num(4_100)),
                ("ownership", text("1200ms")),
                ("apply", text("3000ms")),
                ("grace", text("6s")),
                ("jobs", jobs),
            ];
            fs::write(&settings, map(&fields).encode())?;
            let (callers, readiness) = (ports[0], ports[1]);
            nodes.push(Node { name, callers, readiness, settings, child: None });
        }
        for node in &mut nodes {
            node.start()?;
            record.note(&format!("entry VM {}: started", node.name));
        }
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.note(if trouble { "with the disruption" } else { "without the disruption" });
        let world = World {
            record,
            store,
            nodes: Arc::new(Mutex::new(nodes)),
            executors,
            starts,
            folder: own,
            trouble,
            next: AtomicU64::new(0),
        };
        let (watched, own) = (Arc::clone(&world.nodes), world.folder.clone());
        thread::spawn(move || {
            sleep(CASE_LIMIT);
            lock(&watched).iter_mut().for_each(Node::kill);
            let _ = fs::remove_dir_all(own);
            eprintln!("the case took too long");
            std::process::exit(2);
        });
        Ok(world)
    }

    /// Kills the entry VM that owns the jobs, and starts it again a second later, as the platform does.
    fn kill_owner(&self) -> bool {
        let owner = lock(&self.store.state).items.get("owner").map(|item| item.value.clone());
        let mut nodes = lock(&self.nodes);
        let is_owner = |node: &&mut Node| owner.as_ref() == Some(&base64(node.name.as_bytes()));
        let Some(node) = nodes.iter_mut().find(is_owner) else { return false };
        self.record.note(&format!("entry VM {}: the owner, is killed", node.name));
        node.kill();
        let (nodes, name) = (Arc::clone(&self.nodes), node.name.clone());
        thread::spawn(move || {
            sleep(ms(1_000));
            let mut nodes = lock(&nodes);
            nodes.iter_mut().filter(|node| node.name == name).for_each(|node| drop(node.start()));
        });
        true
    }

    /// Whether an entry VM owns the jobs.
    fn has_owner(&self) -> bool {
        lock(&self.store.state).items.contains_key("owner")
    }

    fn addresses(&self) -> Vec<(SocketAddr, SocketAddr)> {
        lock(&self.nodes).iter().map(|node| (node.callers, node.readiness)).collect()
    }

    /// Waits until all entry VMs are ready.
    fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        let is_ready = |address: SocketAddr| {
            let answer = call(address, "GET", "/-/readiness", &[("host", "x")], "", ms(500));
            answer.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < end {
            if self.addresses().iter().all(|(_, readiness)| is_ready(*readiness)) {
                sleep(ms(2_000));
                self.record.note("all entry VMs are ready");
                return true;
            }
            sleep(ms(100));
        }
        false
    }

    fn ask(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let address = self.addresses()[node].0;
        let headers = [("host", HOST), ("x-api-key", KEY), ("x-basilrack-deadline-ms", "3000")];
        call(address, method, path, &headers, body, ms(3_000))
    }

    /// Hands a job in as a client does, and returns whether it was accepted.
    fn submit(&self, path: &str, body: &str) -> bool {
        for _ in 0..5 {
            let node = self.next.fetch_add(1, Ordering::SeqCst) as usize % 3;
            let answer = self.ask(node, "POST", path, body);
            let status = answer.map_or(0, |(status, _)| status);
            self.record.note(&format!("client: POST {path} {body} -> {status}"));
            if (200..300).contains(&status) {
                return true;
            }
            sleep(ms(300));
        }
        false
    }

    /// State of a job; empty if there is no answer that states one.
    fn state(&self, path: &str) -> String {
        let node = self.next.fetch_add(1, Ordering::SeqCst) as usize % 3;
        let answer = self.ask(node, "GET", path, "");
        answer.map_or(String::new(), |(status, body)| match status {
            200 => body.get("state").text().to_owned(),
            status => format!("status {status}"),
        })
    }

    /// Asks for the state of a job until it is one of the final ones, or until the limit.
    fn wait_end(&self, path: &str, limit: Duration) -> String {
        let end = Instant::now() + limit;
        let mut last = String::new();
        while Instant::now() < end {
            let state = self.state(path);
            if state != last {
                self.record.note(&format!("client: GET {path} -> {state}"));
                last.clone_from(&state);
            }
            if ["completed", "failed", "cancelled"].contains(&state.as_str()) {
                return state;
            }
            sleep(ms(200));
        }
        last
    }

    /// Waits until an executor runs a task of the job.
    fn wait_running(&self, job: &str, limit: Duration) -> Option<&Executor> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(found) = self.executors.iter().find(|executor| executor.runs(job)) {
                return Some(found);
            }
            sleep(ms(5));
        }
        None
    }

    fn finish(&self, verdict: &Verdict) -> i32 {
        let (text, code) = match verdict {
            Verdict::Held(text) => (format!("the rule held: {text}"), 0),
            Verdict::Broken(text) => (format!("the rule was broken: {text}"), 1),
            Verdict::Failed(text) => (format!("the case could not run: {text}"), 2),
        };
        self.record.note(&text);
        println!("{text}");
        lock(&self.nodes).iter_mut().for_each(Node::kill);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        code
    }
}

enum Verdict {
    Held(String),
    Broken(String),
    Failed(String),
}

fn job(spec: &str, fields: &str) -> String {
    format!("{{\"spec\":\"{spec}\",\"steps\":[{{{fields}}}]}}")
}

// ---------------------------------------------------------------------------------------------
// The cases

/// Executors `i-00`, `i-01`, ... of kind `a`, 8 a rack.
fn pool(count: usize) -> Vec<(String, String, String)> {
    let rack = |number: usize| format!("r1-{}", number / 8 + 1);
    (0..count).map(|number| (format!("i-{number:02}"), "a".to_owned(), rack(number))).collect()
}

fn borrowed(pool: &[(String, String, String)]) -> Vec<(&str, &str, &str)> {
    pool.iter().map(|(id, kind, rack)| (id.as_str(), kind.as_str(), rack.as_str())).collect()
}

const SMALL: &str = "\"cpu\":11000,\"memMb\":23000";

/// Executors start again as executors of another kind, while jobs require the former kind.
fn kinds(world: &World) -> Verdict {
    let mut paths = Vec::new();
    for round in 0..6 {
        let id = format!("5c0e7a21d94b36{round:02}");
        let fields = format!(
            "{SMALL},\"count\":1,\"gpu\":1,\"estimateMs\":5000,\"requirements\":\"a\""
        );
        if !world.submit(&format!("/weigh/{id}"), &job("work=5000", &fields)) {
            return Verdict::Failed("a job was not accepted".to_owned());
        }
        paths.push(format!("/weigh/{id}"));
        let Some(executor) = world.wait_running(&id, Duration::from_secs(15)) else {
            return Verdict::Failed("a job was not started".to_owned());
        };
        sleep(ms(1_500));
        if world.trouble {
            executor.crash();
            sleep(ms(1_000));
            executor.restart("b");
        }
        sleep(ms(6_000));
    }
    let states: BTreeSet<String> =
        paths.iter().map(|path| world.wait_end(path, Duration::from_secs(15))).collect();
    world.record.note(&format!("the jobs are shown as {states:?}"));
    let starts = lock(&world.starts);
    let wrong: Vec<&Start> =
        starts.iter().filter(|start| start.kind != "a" && start.known).collect();
    for start in &wrong {
        world.record.note(&format!(
            "{} run {} was started on {} of kind {}, {} ms ago, after that lifetime had answered a hold",
            start.task,
            start.run,
            start.executor,
            start.kind,
            start.at.elapsed().as_millis()
        ));
    }
    match (wrong.is_empty(), starts.len()) {
        (_, 0..6) => Verdict::Failed("too few starts".to_owned()),
        (true, _) => Verdict::Held("all starts were on executors with the label".to_owned()),
        (false, _) => Verdict::Broken(format!(
            "{} of {} starts were on executors without the required label",
            wrong.len(),
            starts.len()
        )),
    }
}

/// An executor starts twice in short succession, and its time of day is put back between the two.
fn clocks(world: &World) -> Verdict {
    let executor = &world.executors[0];
    if world.trouble {
        executor.ahead_ms.store(2_400, Ordering::SeqCst);
        world.record.note(&format!("executor {}: the time of day is 2.4 s ahead", executor.id));
        sleep(ms(300));
        executor.crash();
        sleep(ms(300));
        executor.restart("a");
        sleep(ms(1_500));
        executor.ahead_ms.store(0, Ordering::SeqCst);
        world.record.note(&format!("executor {}: the time of day is right again", executor.id));
        executor.crash();
        sleep(ms(300));
        executor.restart("a");
    }
    sleep(ms(8_000));
    world.record.note("8 s without any disruption have passed");
    let (id, path) = ("5c0e7a21d94b36f8", "/weigh/5c0e7a21d94b36f8");
    let first = format!("{SMALL},\"count\":4,\"gpu\":1,\"estimateMs\":2000");
    let second = format!("{SMALL},\"count\":1,\"gpu\":1,\"estimateMs\":2000,\"after\":[0]");
    let body = format!("{{\"spec\":\"work=2000\",\"steps\":[{{{first}}},{{{second}}}]}}");
    if !world.submit(path, &body) {
        return Verdict::Failed("the job was not accepted".to_owned());
    }
    let since = Instant::now();
    let mut state = String::new();
    let mut ran_late = false;
    while since.elapsed() < ms(FINISH_MS + 3_000) {
        if state != "completed" {
            state = world.wait_end(path, ms(500));
        }
        ran_late |= since.elapsed() > ms(FINISH_MS)
            && world.executors.iter().any(|executor| executor.runs(id));
        sleep(ms(20));
    }
    let ends = world.executors.iter().flat_map(|executor| lock(&executor.ends).clone());
    let done = ends.filter(|(task, _, how)| task.starts_with(id) && *how == "done").count();
    let kept = lock(&executor.life).ended.len();
    let second = lock(&world.starts).iter().any(|start| start.task.starts_with(&format!("{id}.0.1")));
    match state.as_str() {
        "completed" => Verdict::Held("the job is shown as completed".to_owned()),
        state if done == 4 && !second && !ran_late => Verdict::Broken(format!(
            "17 s after the last traffic the job is shown as {state:?}; the 4 tasks of its first step \
             are listed as done, {kept} of these ends are not taken note of, and the second step has \
             not been started"
        )),
        state => Verdict::Failed(format!("the job is shown as {state:?}")),
    }
}

/// Starts are carried out late by an executor that has crashed and started again meanwhile, after the
/// owner that sent them was killed.
fn late(world: &World) -> Verdict {
    let executor = &world.executors[0];
    for round in 0..4 {
        if world.trouble {
            executor.network.holds.store(2, Ordering::SeqCst);
        }
        let path = format!("/weigh/5c0e7a21d94b36{round:02}");
        let fields = format!("{SMALL},\"count\":34,\"gpu\":1,\"estimateMs\":600");
        if !world.submit(&path, &job("work=600", &fields)) {
            return Verdict::Failed("a job was not accepted".to_owned());
        }
        let state = world.wait_end(&path, Duration::from_secs(10));
        if state != "completed" {
            return Verdict::Failed(format!("a job is shown as {state:?}"));
        }
        sleep(ms(500));
        if world.trouble {
            if !world.kill_owner() {
                return Verdict::Failed("no owner was found".to_owned());
            }
            // Its lease ends, and another one takes over and calls all executors.
            sleep(ms(1_500));
            let since = Instant::now();
            while !world.has_owner() && since.elapsed() < ms(5_000) {
                sleep(ms(10));
            }
            sleep(ms(1_500));
            executor.crash();
            sleep(ms(600));
            executor.restart("a");
        }
        sleep(ms(8_000));
    }
    let starts = lock(&world.starts);
    let again: Vec<&Start> = starts.iter().filter(|start| start.done).collect();
    for start in &again {
        world.record.note(&format!(
            "{} run {} was started on {} after its end `done` had been taken note of",
            start.task, start.run, start.executor
        ));
    }
    match (again.len(), starts.len()) {
        (_, 0..136) => Verdict::Failed("too few starts".to_owned()),
        (0, _) => Verdict::Held("no task was started after its end".to_owned()),
        (again, _) => Verdict::Broken(format!(
            "{again} tasks were started after their end `done` had been taken note of"
        )),
    }
}

/// A burst of urgent work comes while a task waits that may not share an executor with its like.
fn spread(world: &World) -> Verdict {
    let label = "\"requirements\":\"p\"";
    let fields =
        format!("{SMALL},{label},\"count\":1,\"gpu\":8,\"estimateMs\":60000");
    if !world.submit("/check/5c0e7a21d94b3601", &job("work=60000", &fields)) {
        return Verdict::Failed("a job was not accepted".to_owned());
    }
    sleep(ms(1_000));
    let fields =
        format!("{SMALL},{label},\"count\":3,\"gpu\":2,\"estimateMs\":60000");
    if !world.submit("/sort/5c0e7a21d94b3602", &job("work=60000", &fields)) {
        return Verdict::Failed("a job was not accepted".to_owned());
    }
    sleep(ms(1_000));
    let fields = format!(
        "{SMALL},{label},\"count\":2,\"gpu\":2,\"estimateMs\":20000,\"antiAffinity\":1"
    );
    if !world.submit("/check/5c0e7a21d94b3603", &job("work=20000", &fields)) {
        return Verdict::Failed("a job was not accepted".to_owned());
    }
    sleep(ms(2_000));
    if world.trouble {
        let fields =
            format!("{SMALL},{label},\"count\":10,\"gpu\":2,\"estimateMs\":2000");
        if !world.submit("/check/5c0e7a21d94b3604", &job("work=2000", &fields)) {
            return Verdict::Failed("a job was not accepted".to_owned());
        }
    }
    sleep(ms(6_000));
    let starts = lock(&world.starts);
    let apart: Vec<&Start> =
        starts.iter().filter(|start| start.task.starts_with("5c0e7a21d94b3603")).collect();
    let mut most = 0;
    for start in &apart {
        world.record.note(&format!("{} was started on {}", start.task, start.executor));
        let tasks: BTreeSet<&str> = apart
            .iter()
            .filter(|other| other.executor == start.executor)
            .map(|other| other.task.as_str())
            .collect();
        most = tasks.len().max(most);
    }
    match most {
        0 => Verdict::Failed("no task was started".to_owned()),
        1 => Verdict::Held("the tasks of the step run on different executors".to_owned()),
        _ => Verdict::Broken(format!(
            "{most} tasks of a step with antiAffinity 1 were started on one executor"
        )),
    }
}

/// A task that lasts fails after a burst of less urgent work, which waits for the whole service.
fn lasting(world: &World) -> Verdict {
    let (id, path) = ("5c0e7a21d94b36f8", "/check/5c0e7a21d94b36f8");
    let fields = format!("{SMALL},\"count\":1,\"gpu\":1,\"longRunning\":true");
    if !world.submit(path, &job("lasts", &fields)) {
        return Verdict::Failed("the job was not accepted".to_owned());
    }
    let Some(executor) = world.wait_running(id, Duration::from_secs(10)) else {
        return Verdict::Failed("the job was not started".to_owned());
    };
    sleep(ms(1_000));
    // Eight jobs within 4.1 s, as in a burst of 2.8 times 0.691 jobs a second.
    for number in 0..8 {
        let fields = "\"cpu\":52000,\"memMb\":140000,\"count\":30,\"gpu\":8,\"estimateMs\":5800";
        if !world.submit(&format!("/weigh/5c0e7a21d94b37{number:02}"), &job("work=5800", fields)) {
            return Verdict::Failed("a job was not accepted".to_owned());
        }
        sleep(ms(500));
    }
    sleep(ms(4_500));
    if world.trouble {
        executor.fail(id);
    }
    let since = Instant::now();
    let is_running = || world.executors.iter().any(|executor| executor.runs(id));
    let mut idle_since = None;
    let mut longest = Duration::ZERO;
    while since.elapsed() < ms(25_000) {
        match is_running() {
            true => idle_since = None,
            false => {
                let began = *idle_since.get_or_insert_with(Instant::now);
                longest = longest.max(began.elapsed());
            }
        }
        sleep(ms(10));
    }
    let state = world.state(path);
    world.record.note(&format!("client: GET {path} -> {state}"));
    let starts = lock(&world.starts);
    let others = starts.iter().filter(|start| start.at > since && !start.task.starts_with(id));
    let others = others.count();
    let line = format!(
        "the task that lasts had no run for {} ms, in which up to {others} tasks of a less urgent \
         queue were started",
        longest.as_millis()
    );
    match longest > ms(6_000 + 3_000) {
        true => Verdict::Broken(line),
        false => Verdict::Held(line),
    }
}

fn play(case: &str, folder: &Path) -> io::Result<i32> {
    let mut executors = pool(if case == "lasting" { 48 } else { 12 });
    let play: fn(&World) -> Verdict = match case {
        "kinds" => kinds,
        "lasting" => lasting,
        "late" => late,
        "clocks" => clocks,
        "spread" => {
            executors[10].1 = "p".to_owned();
            executors[11].1 = "p".to_owned();
            spread
        }
        _ => return Err(io::Error::other("no such case")),
    };
    let world = World::start(folder, &borrowed(&executors), 0)?;
    let verdict = match world.wait_ready() {
        true => play(&world),
        false => Verdict::Failed("the entry VMs are not ready".to_owned()),
    };
    Ok(world.finish(&verdict))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let code = match &arguments[..] {
        [_, case, folder] => play(case, Path::new(folder)).unwrap_or_else(|error| {
            eprintln!("{error}");
            2
        }),
        _ => {
            eprintln!("usage: standins-3 CASE FOLDER");
            2
        }
    };
    std::process::exit(code);
}
