//! Logs panics, and aborts the process after one. The coroutine runtime catches panics of coroutines where panics unwind, as in
//! builds for tests; a process that went on would hide them.

use super::log;
use super::log_settings::LogFormat;
use std::panic::PanicHookInfo;

/// Installs the panic hook of the process.
pub fn install(format: LogFormat) {
    let print_message = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print_message(panic);
        log::write_immediately(format, || log_panic(panic));
        std::process::abort();
    }));
}

fn log_panic(panic: &PanicHookInfo<'_>) {
    let thread = std::thread::current();
    let thread = thread.name().unwrap_or("unnamed");
    let place = panic.location().map(ToString::to_string).unwrap_or_default();
    let reason = panic_message(panic);
    let is_coroutine = may::coroutine::is_coroutine();
    tracing::error!(thread, is_coroutine, place, reason, "process ends: panic");
}

/// The message of a panic, which is a text unless a library panics with a value of its own.
fn panic_message<'a>(panic: &'a PanicHookInfo<'_>) -> &'a str {
    let payload = panic.payload();
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("unknown")
}

#[cfg(test)]
#[path = "panic_log_tests.rs"]
mod tests;
