//! The async runtime. It selects the epoll driver explicitly, so that `monoio` never uses io_uring.

use std::future::Future;
use std::time::Duration;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `future` on a new single-threaded runtime until it completes.
///
/// # Panics
///
/// Panics if the epoll instance cannot be created, since nothing can run without one.
pub fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the epoll driver should start")
        .block_on(future)
}

/// Runs `future` and returns its output, or `None` if it takes longer than `limit`.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    monoio::time::timeout(limit, future).await.ok()
}
