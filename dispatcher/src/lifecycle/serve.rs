//! The life of the process: start, ready, SIGHUP, SIGTERM, end.

use super::config::{self, Config};
use super::log;
use super::{listen, relay, suspension_store};
use crate::core::event_loop::{AdminState, Core, max_client_timeout};
use crate::core::{FleetId, Inbox, Input, clock};
use crate::wire::admin::{self, Admin};
use crate::wire::connection_limiter::ConnectionLimiter;
use crate::wire::discovery::{DiscoveryHandle, DiscoveryWatcher, WatcherParameters};
use crate::wire::front::{self, Front};
use crate::wire::gearman::{self, Gearman};
use crate::wire::ipfix;
use crate::wire::upstream::HttpDialer;
use may::sync::mpsc::channel;
use roselock::settings::{Site, fnv};
use roselock::{Micros, Settings};
use roselock_discovery_client::poll_schedule::PollSchedule;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Words of stack for a coroutine: the deepest path parses a head and writes it out.
const STACK: usize = 8 * 1024;
/// Coroutines kept with their stacks for the next ones: each takes two pages even before its first use.
const COROUTINES: usize = 64;

/// How long connections may take to end at the end of the process, and how often they are looked at.
const FAREWELL: Micros = 300_000;
const LOOK: std::time::Duration = std::time::Duration::from_millis(5);

/// Catches the signals that [`run`] heeds; those that come before it is there wait for it.
pub fn catch() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| e.to_string())
}

/// Serves until SIGTERM, and then until nothing is owed.
pub fn run(config: Config, signals: Signals) -> Result<(), String> {
    let _log = log::start(config.log);
    config.warnings.iter().for_each(|warning| tracing::warn!("{warning}"));
    // One core, shared with the thread that owns the decisions.
    may::config().set_workers(1).set_stack_size(STACK).set_pool_capacity(COROUTINES);
    let (inbox, outlet) = Inbox::new();
    let (ask, asked) = channel();
    let site = Arc::new(config.site.clone());
    let operation = AdminState::new(config.site.classes.names().to_vec());
    let shares = config.limits.shares(config.gearman.is_some() as usize);
    let dialer = HttpDialer {
        inbox: inbox.clone(),
        site: site.clone(),
        open: Arc::new(AtomicUsize::new(0)),
        most: shares.upstream,
        watch: ask.clone(),
        metrics: operation.metrics.clone(),
    };
    let registry = DiscoveryHandle::new(config.discovery, ask, !config.site.settings.watch_required);
    let flows = config.ipfix.as_ref().map(|file| ipfix::start(file, &site)).transpose()?;
    let owner =
        suspension_store::StoreIdentity { site: config.listen.to_string(), name: config.name.clone() };
    let kept = suspension_store::begin(owner, &operation.suspensions);
    let mut core = Core::new(inbox.clone(), outlet, flows, operation.clone());
    // Only its list counts as told unheard: what comes to us by itself is told by its connection.
    let settings = Settings { list_lease_enabled: true, ..site.settings.clone() };
    let fleet = core.add_fleet(settings, config.seed, Some(Box::new(dialer)))?;
    config.dial_limits.into_iter().for_each(|limits| core.set_dial_limits(fleet, limits));
    let mut watcher = DiscoveryWatcher::new(WatcherParameters {
        handle: registry.clone(),
        cached_revision: config.known.revision,
        site: config.site.clone(),
        inbox: inbox.clone(),
        fleet,
        metrics: operation.metrics.clone(),
        resync_after: config.resync_after,
    });
    let known = watcher.record_cached(config.known.clone());
    core.seed_known_hosts(fleet, known);
    may::go!(move || watcher.run(&asked));

    let (listener, inherited) = listen::for_clients(&config)?;
    let listen = listener.local_addr().map_err(|e| e.to_string())?;
    let front = Arc::new(Front {
        site,
        inbox: inbox.clone(),
        fleet,
        connections: ConnectionLimiter::new(shares.downstream),
        bytes: AtomicUsize::new(shares.bytes),
        held: AtomicUsize::new(0),
        inherited,
        metrics: operation.metrics.clone(),
    });
    inbox.note_client_timeout(max_client_timeout(&config.site.settings));
    let accepting = front.clone();
    may::go!(move || front::accept(accepting, &listener));
    let table = front.connections.clone();
    let gearman = config.gearman.as_ref().map(|file| {
        let bytes = shares.further_bytes;
        let figures = gearman::file::figures(file, bytes).map_err(|e| e.to_string())?;
        let life = config.seed ^ fnv(config.name.as_bytes()) ^ clock::now() as u64;
        let front = Arc::new(Gearman::new(
            file.clone(),
            figures,
            front.site.clone(),
            inbox.clone(),
            (fleet, fleet + 1),
            config.seed,
            life,
            shares.further,
        ));
        for function in gearman::file::functions(file, &config.site).map_err(|e| e.to_string())? {
            front.make(function)?;
        }
        core.add_job_source(Box::new(gearman::Queue(front.clone())));
        let listener = listen::bind(file.listen, "")?;
        let listen = listener.local_addr().map_err(|e| e.to_string())?;
        tracing::info!("{}: Gearman on {listen}", config.name);
        let (accepting, timing) = (front.clone(), front.clone());
        may::go!(move || gearman::accept(accepting, &listener));
        may::go!(move || gearman::run_timers(&timing));
        Ok::<_, String>(front)
    });
    let gearman = gearman.transpose()?;
    if let Some(at) = config.admin {
        let listener = listen::bind(at, " (admin)")?;
        let listen = listener.local_addr().map_err(|e| e.to_string())?;
        let admin = Arc::new(Admin {
            metrics: operation.metrics.clone(),
            suspensions: operation.suspensions.clone(),
            inbox: inbox.clone(),
            connections: ConnectionLimiter::new(admin::CONNECTIONS),
        });
        may::go!(move || admin::accept(admin, &listener));
        tracing::info!("{}: admin on {listen}", config.name);
    }
    suspension_store::keep(kept, operation.suspensions.clone(), inbox.clone());
    if inherited {
        core.set_relay(relay::start(&config.name, front.site.clone(), inbox.clone()));
    }
    let name = config.name.clone();
    tracing::info!("{name}: serving on {listen}");
    let moves = Arc::default();
    heed_signals(signals, config, Parts { inbox: inbox.clone(), fleet, registry, moves, gearman });
    // This thread owns the decisions from here on.
    core.run();
    // Nothing more is taken on. Those who rest are told so, and what crosses it is read: their clients send it elsewhere.
    table.finish_writes();
    let last = inbox.exit_deadline().min(clock::now() + FAREWELL);
    while table.open() > 0 && clock::now() < last {
        std::thread::sleep(LOOK);
    }
    tracing::info!("{name}: nothing is owed, done");
    Ok(())
}

/// The parts that signals reach.
struct Parts {
    inbox: Inbox,
    fleet: FleetId,
    registry: DiscoveryHandle,
    /// Moves of discovery told so far: one that waits for its turn is void once there is a later one.
    moves: Arc<AtomicUsize>,
    gearman: Option<Arc<Gearman>>,
}

impl Parts {
    /// Puts a new configuration in the place of the old one; says what only a new start can change. `running` are the
    /// settings in use: a file whose names are others was read before, and is not.
    fn reload(&self, old: &Config, new: &Config, running: &mut Site) {
        let name = &old.name;
        let same = new.site.has_same_names_as(running);
        // Whether or not they are taken.
        self.inbox.note_client_timeout(max_client_timeout(&new.site.settings));
        if new.discovery != old.discovery {
            self.move_discovery(name, new);
        }
        if same {
            *running = new.site.clone();
            self.inbox.post(Input::SettingsChanged {
                fleet: self.fleet,
                settings: Box::new(new.site.settings.clone()),
            });
            new.dial_limits
                .into_iter()
                .for_each(|l| self.inbox.post(Input::DialLimitsChanged { fleet: self.fleet, limits: l }));
            self.registry.set_always_watch(!new.site.settings.watch_required);
        } else {
            tracing::warn!(
                "{name}: other classes, tenants, zones, kinds or load reports take effect at the next start; the settings in \
                 use stay"
            );
        }
        if (new.listen, new.limits) != (old.listen, old.limits) {
            tracing::info!("{name}: another address or other limits take effect at the next start");
        }
        log::set_level(new.log.level);
        match (&self.gearman, &new.gearman) {
            (Some(_), Some(_)) if !same => {}
            (Some(front), Some(file)) => match front.reload(file.clone(), Arc::new(new.site.clone())) {
                Ok(later) => later.iter().for_each(|what| {
                    tracing::warn!("{name}: gearman: {what} take effect at the next start");
                }),
                Err(why) => tracing::error!("{name}: gearman: the old settings are kept: {why}"),
            },
            (None, None) => {}
            _ => tracing::warn!("{name}: the Gearman front starts or ends with the next start"),
        }
        tracing::info!("{name}: configuration read again");
    }

    /// Discovery has moved: at once, or at our place in a first round, as all may be told in the same second; the old
    /// watch stays until then.
    fn move_discovery(&self, name: &str, new: &Config) {
        let (this, moves) = (self.moves.fetch_add(1, Ordering::SeqCst) + 1, self.moves.clone());
        let (name, at, registry) = (name.to_owned(), new.discovery, self.registry.clone());
        let settings = &new.site.settings;
        let wait = if new.spread_moves {
            PollSchedule::new(settings.list_call_time).delay_after_move(settings.poll_parameters())
        } else {
            0
        };
        let move_now = move || {
            if moves.load(Ordering::SeqCst) == this && registry.move_to(at) {
                tracing::info!("{name}: discovery is at {at} from now on");
            }
        };
        if wait == 0 {
            return move_now();
        }
        may::go!(move || {
            may::coroutine::sleep(std::time::Duration::from_micros(wait as u64));
            move_now();
        });
    }
}

fn heed_signals(mut signals: Signals, mut config: Config, parts: Parts) {
    std::thread::spawn(move || {
        let mut running = config.site.clone();
        for signal in signals.forever() {
            if signal == SIGHUP {
                match config::load(config.files.clone()) {
                    Ok(new) => {
                        parts.reload(&config, &new, &mut running);
                        config = new;
                    }
                    Err(why) => tracing::error!("{}: the old configuration is kept: {why}", config.name),
                }
                continue;
            }
            parts.inbox.request_shutdown();
        }
    });
}
