//! An account of the bytes that one use of memory holds.

/// Bytes held by one use of memory, with its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    limit: usize,
    held: usize,
    peak: usize,
}

impl Account {
    /// Creates an empty account with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Account { limit, held: 0, peak: 0 }
    }

    /// Creates an empty account that only measures.
    pub fn unlimited() -> Self {
        Account::new(usize::MAX)
    }

    /// A buffer that held `before` bytes now holds `after`; either is zero for a buffer that is created or freed.
    pub fn resize(&mut self, before: usize, after: usize) {
        self.held = self.held.saturating_sub(before).saturating_add(after);
        self.peak = self.peak.max(self.held);
    }

    /// The limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Most bytes held at any time since the start or the last [`Account::take_peak`].
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the peak and starts a new one at the bytes held now.
    pub fn take_peak(&mut self) -> usize {
        std::mem::replace(&mut self.peak, self.held)
    }

    /// Whether more bytes are held than the limit allows.
    pub fn is_over_limit(&self) -> bool {
        self.held > self.limit
    }
}
