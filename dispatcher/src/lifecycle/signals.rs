//! Signal handling: SIGHUP reloads the configuration, SIGTERM and SIGINT shut the process down.

use super::config::{self, Config};
use super::error_chain::ErrorChain;
use super::reload::ReloadHandles;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Installs the signal handlers. Signals that arrive before [`spawn_handler`] is called are queued for it.
///
/// # Errors
/// Fails if the operating system rejects a handler.
pub fn install_signal_handlers() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// Handles signals on a dedicated thread until the process exits.
pub fn spawn_handler(signals: Signals, config: Config, handles: ReloadHandles) {
    std::thread::spawn(move || handle_signals(signals, config, handles));
}

fn handle_signals(mut signals: Signals, mut config: Config, handles: ReloadHandles) {
    // The settings in use. A configuration with different names is accepted, but its settings are not
    // applied.
    let mut site_in_use = config.site.clone();
    for signal in signals.forever() {
        if signal != SIGHUP {
            handles.request_shutdown();
            continue;
        }
        match config::load(config.sources.clone()) {
            Ok(new) => {
                handles.reload(&config, &new, &mut site_in_use);
                config = new;
            }
            Err(error) => {
                let reason = ErrorChain(&error);
                tracing::error!(name = %config.name, %reason, "configuration rejected, keeping the current one");
            }
        }
    }
}
