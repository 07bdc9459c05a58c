//! The wire's messages as they stand on a line: names as text, seconds as numbers.

use roselock::settings::{Options, WorkerReport};
use serde::Deserialize;
use serde::de::{Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;

/// A name; a number stands for none (tenants are 0 where a site has none).
#[derive(Debug, Default)]
pub struct Name<'a>(pub Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Name<'a> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct V;
        impl<'de> Visitor<'de> for V {
            type Value = Name<'de>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a name")
            }
            fn visit_borrowed_str<E: Error>(self, s: &'de str) -> Result<Name<'de>, E> {
                Ok(Name(Cow::Borrowed(s)))
            }
            fn visit_str<E: Error>(self, s: &str) -> Result<Name<'de>, E> {
                Ok(Name(Cow::Owned(s.to_owned())))
            }
            fn visit_u64<E: Error>(self, _: u64) -> Result<Name<'de>, E> {
                Ok(Name::default())
            }
        }
        d.deserialize_any(V)
    }
}

/// One line of a worker list.
#[derive(Debug)]
pub struct Host<'a> {
    pub health: Name<'a>,
    pub site: Name<'a>,
    pub cell: u32,
    pub sku: Name<'a>,
    pub units: f64,
    pub up_since: f64,
    pub worker: Name<'a>,
}

/// One event. Unknown trailing values are skipped.
#[derive(Debug)]
pub enum Event<'a> {
    Attach { seed: u64, options: Box<Options> },
    Fleet { mode: Name<'a>, hosts: Vec<Host<'a>> },
    JobIn(JobIn<'a>),
    Down,
    Health { verdict: Name<'a>, worker: Name<'a>, gauge: WorkerReport },
    Notice { rid: u32, round: u32, what: u64, amount: f64 },
    Alarm { nonce: u64 },
    Cancelled { rid: u32 },
    Datagram,
    Verdict { rid: u32, round: u32, verdict: Name<'a>, last: bool, gauge: WorkerReport },
    Accepted { rid: u32, round: u32 },
}

#[derive(Debug)]
pub struct JobIn<'a> {
    pub rid: u32,
    pub memory: f64,
    pub hint: Option<f64>,
    pub service: Name<'a>,
    pub slots: f64,
    pub team: Name<'a>,
    pub key: Name<'a>,
    pub budget: f64,
}

/// Reads an array's values by position; null and missing both read as absent.
struct Values<A>(A);

impl<'de, A: SeqAccess<'de>> Values<A> {
    fn get<T: Deserialize<'de>>(&mut self) -> Result<Option<T>, A::Error> {
        Ok(self.0.next_element::<Option<T>>()?.flatten())
    }
    fn or<T: Deserialize<'de> + Default>(&mut self) -> Result<T, A::Error> {
        Ok(self.get()?.unwrap_or_default())
    }
    fn need<T: Deserialize<'de>>(&mut self, what: &str) -> Result<T, A::Error> {
        self.get()?.ok_or_else(|| A::Error::custom(format_args!("{what} is missing")))
    }
    fn skip(&mut self, n: usize) -> Result<(), A::Error> {
        for _ in 0..n {
            self.0.next_element::<IgnoredAny>()?;
        }
        Ok(())
    }
    fn rest(mut self) -> Result<(), A::Error> {
        while self.0.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }
}

macro_rules! from_array {
    ($kind:ident, $what:literal, $read:expr) => {
        impl<'de: 'a, 'a> Deserialize<'de> for $kind<'a> {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                struct V;
                impl<'de> Visitor<'de> for V {
                    type Value = $kind<'de>;
                    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                        f.write_str($what)
                    }
                    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<$kind<'de>, A::Error> {
                        let mut v = Values(seq);
                        #[allow(clippy::redundant_closure_call)]
                        let value = ($read)(&mut v)?;
                        v.rest()?;
                        Ok(value)
                    }
                }
                d.deserialize_seq(V)
            }
        }
    };
}

fn host<'de, A: SeqAccess<'de>>(v: &mut Values<A>) -> Result<Host<'de>, A::Error> {
    Ok(Host {
        health: v.need("a worker's health")?,
        site: v.or()?,
        cell: v.or()?,
        sku: v.or()?,
        units: v.or()?,
        up_since: v.or()?,
        worker: v.need("a worker's address")?,
    })
}
from_array!(Host, "a line of the worker list", host);

fn event<'de, A: SeqAccess<'de>>(v: &mut Values<A>) -> Result<Event<'de>, A::Error> {
    let tag: Name = v.need("the event's name")?;
    Ok(match &*tag.0 {
        "attach" => Event::Attach { seed: v.need("seed")?, options: v.need("options")? },
        "fleet" => {
            v.skip(1)?;
            Event::Fleet { mode: v.need("mode")?, hosts: v.or()? }
        }
        "jobIn" => {
            let (rid, memory) = (v.need("rid")?, v.or()?);
            v.skip(2)?;
            Event::JobIn(JobIn {
                rid,
                memory,
                hint: v.get()?,
                service: v.need("service")?,
                slots: v.get()?.unwrap_or(1.0),
                team: v.or()?,
                key: v.or()?,
                budget: v.need("budgetS")?,
            })
        }
        "down" => Event::Down,
        "health" => {
            v.skip(1)?;
            Event::Health { verdict: v.or()?, worker: v.need("worker")?, gauge: v.or()? }
        }
        "notice" => {
            let (rid, round) = (v.need("rid")?, v.need("roundNo")?);
            v.skip(1)?;
            Event::Notice { rid, round, what: v.or()?, amount: v.or()? }
        }
        "alarm" => Event::Alarm { nonce: v.need("nonce")? },
        "cancelledByClient" => Event::Cancelled { rid: v.need("rid")? },
        "datagram" => Event::Datagram,
        "verdict" => {
            let (rid, round) = (v.need("rid")?, v.need("roundNo")?);
            v.skip(1)?;
            let verdict = v.need("verdict")?;
            v.skip(1)?;
            let last = v.or()?;
            v.skip(1)?;
            Event::Verdict { rid, round, verdict, last, gauge: v.or()? }
        }
        "accepted" => Event::Accepted { rid: v.need("rid")?, round: v.need("roundNo")? },
        other => return Err(A::Error::custom(format_args!("unknown event {other:?}"))),
    })
}
from_array!(Event, "an event", event);

/// The events of one instance.
#[derive(Debug, Deserialize)]
pub struct Group<'a> {
    #[serde(rename = "schedulerId")]
    pub id: u64,
    #[serde(borrow)]
    pub events: Vec<Event<'a>>,
}

/// One line of input.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "clockS")]
    pub clock: f64,
    pub batch: u64,
    #[serde(borrow)]
    pub schedulers: Vec<Group<'a>>,
}
