//! The messages of the simulator's wire protocol. Types and fields are named as in the protocol. Workers, zones, classes
//! and the like are identified by name; times are in seconds. An event is a JSON array whose values are identified by position.

use roselock::settings::{Options, WorkerReport};
use serde::Deserialize;
use serde::de::{Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;

/// A name. A number is read as the empty name, as the tenant is 0 where a site has no tenants.
#[derive(Debug, Default)]
pub struct Name<'a>(pub Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for Name<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NameVisitor;
        impl<'de> Visitor<'de> for NameVisitor {
            type Value = Name<'de>;
            fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
                formatter.write_str("a name")
            }
            fn visit_borrowed_str<E: Error>(self, text: &'de str) -> Result<Name<'de>, E> {
                Ok(Name(Cow::Borrowed(text)))
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Name<'de>, E> {
                Ok(Name(Cow::Owned(text.to_owned())))
            }
            fn visit_u64<E: Error>(self, _: u64) -> Result<Name<'de>, E> {
                Ok(Name::default())
            }
        }
        deserializer.deserialize_any(NameVisitor)
    }
}

/// One entry of the endpoint list.
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

/// A client request.
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

/// Reads the values of an array by position; null and missing values both count as absent.
struct Values<A>(A);

impl<'de, A: SeqAccess<'de>> Values<A> {
    /// The next value, if it is present.
    fn optional<T: Deserialize<'de>>(&mut self) -> Result<Option<T>, A::Error> {
        Ok(self.0.next_element::<Option<T>>()?.flatten())
    }
    /// The next value, or the default of its type if it is absent.
    fn or_default<T: Deserialize<'de> + Default>(&mut self) -> Result<T, A::Error> {
        Ok(self.optional()?.unwrap_or_default())
    }
    /// The next value, which must be present; `what` names it in the error message.
    fn required<T: Deserialize<'de>>(&mut self, what: &str) -> Result<T, A::Error> {
        self.optional()?.ok_or_else(|| A::Error::custom(format_args!("{what} is missing")))
    }
    /// Skips values that the dispatcher does not use.
    fn skip(&mut self, count: usize) -> Result<(), A::Error> {
        for _ in 0..count {
            self.0.next_element::<IgnoredAny>()?;
        }
        Ok(())
    }
    /// Skips all remaining values.
    fn skip_rest(mut self) -> Result<(), A::Error> {
        while self.0.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }
}

/// Implements `Deserialize` for a type that is encoded as a JSON array, whose values `$read` reads one by one.
macro_rules! deserialize_from_array {
    ($kind:ident, $what:literal, $read:ident) => {
        impl<'de: 'a, 'a> Deserialize<'de> for $kind<'a> {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct ArrayVisitor;
                impl<'de> Visitor<'de> for ArrayVisitor {
                    type Value = $kind<'de>;
                    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
                        formatter.write_str($what)
                    }
                    fn visit_seq<A: SeqAccess<'de>>(self, sequence: A) -> Result<$kind<'de>, A::Error> {
                        let mut values = Values(sequence);
                        let value = $read(&mut values)?;
                        values.skip_rest()?;
                        Ok(value)
                    }
                }
                deserializer.deserialize_seq(ArrayVisitor)
            }
        }
    };
}

fn read_host<'de, A: SeqAccess<'de>>(values: &mut Values<A>) -> Result<Host<'de>, A::Error> {
    Ok(Host {
        health: values.required("a worker's health")?,
        site: values.or_default()?,
        cell: values.or_default()?,
        sku: values.or_default()?,
        units: values.or_default()?,
        up_since: values.or_default()?,
        worker: values.required("a worker's address")?,
    })
}
deserialize_from_array!(Host, "an entry of the endpoint list", read_host);

fn read_event<'de, A: SeqAccess<'de>>(values: &mut Values<A>) -> Result<Event<'de>, A::Error> {
    let name: Name = values.required("the event's name")?;
    match &*name.0 {
        "attach" => {
            Ok(Event::Attach { seed: values.required("seed")?, options: values.required("options")? })
        }
        "fleet" => {
            values.skip(1)?;
            Ok(Event::Fleet { mode: values.required("mode")?, hosts: values.or_default()? })
        }
        "jobIn" => read_job_in(values),
        "down" => Ok(Event::Down),
        "health" => read_health(values),
        "notice" => read_notice(values),
        "alarm" => Ok(Event::Alarm { nonce: values.required("nonce")? }),
        "cancelledByClient" => Ok(Event::Cancelled { rid: values.required("rid")? }),
        "datagram" => Ok(Event::Datagram),
        "verdict" => read_verdict(values),
        "accepted" => {
            Ok(Event::Accepted { rid: values.required("rid")?, round: values.required("roundNo")? })
        }
        other => Err(A::Error::custom(format_args!("unknown event {other:?}"))),
    }
}

deserialize_from_array!(Event, "an event", read_event);

fn read_job_in<'de, A: SeqAccess<'de>>(values: &mut Values<A>) -> Result<Event<'de>, A::Error> {
    let rid = values.required("rid")?;
    let memory = values.or_default()?;
    values.skip(2)?;
    Ok(Event::JobIn(JobIn {
        rid,
        memory,
        hint: values.optional()?,
        service: values.required("service")?,
        slots: values.optional()?.unwrap_or(1.0),
        team: values.or_default()?,
        key: values.or_default()?,
        budget: values.required("budgetS")?,
    }))
}

fn read_health<'de, A: SeqAccess<'de>>(values: &mut Values<A>) -> Result<Event<'de>, A::Error> {
    values.skip(1)?;
    Ok(Event::Health {
        verdict: values.or_default()?,
        worker: values.required("worker")?,
        gauge: values.or_default()?,
    })
}

fn read_notice<'de, A: SeqAccess<'de>>(values: &mut Values<A>) -> Result<Event<'de>, A::Error> {
    let rid = values.required("rid")?;
    let round = values.required("roundNo")?;
    values.skip(1)?;
    Ok(Event::Notice { rid, round, what: values.or_default()?, amount: values.or_default()? })
}

fn read_verdict<'de, A: SeqAccess<'de>>(values: &mut Values<A>) -> Result<Event<'de>, A::Error> {
    let rid = values.required("rid")?;
    let round = values.required("roundNo")?;
    values.skip(1)?;
    let verdict = values.required("verdict")?;
    values.skip(1)?;
    let last = values.or_default()?;
    values.skip(1)?;
    Ok(Event::Verdict { rid, round, verdict, last, gauge: values.or_default()? })
}

/// The events for one instance, in order.
#[derive(Debug, Deserialize)]
pub struct Group<'a> {
    #[serde(rename = "schedulerId")]
    pub id: u64,
    #[serde(borrow)]
    pub events: Vec<Event<'a>>,
}

/// A batch of events: one line of input.
#[derive(Debug, Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "clockS")]
    pub clock: f64,
    pub batch: u64,
    #[serde(borrow)]
    pub schedulers: Vec<Group<'a>>,
}
