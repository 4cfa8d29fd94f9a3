//! The budget for moving requests away from workers that are merely slow.
//!
//! A move makes another worker read the prompt again. Under overload every worker is slow, and moves
//! would add load without end; so they come from a budget that requests earn.

/// Moves that each request earns.
const EARNED: f64 = 0.03;
/// Most moves that are saved up.
const MOST: f64 = 8.0;

/// Moves that may be made now.
#[derive(Clone, Debug)]
pub struct MoveBudget {
    moves: f64,
}

impl Default for MoveBudget {
    fn default() -> Self {
        Self { moves: MOST }
    }
}

impl MoveBudget {
    /// A request began.
    pub fn earn(&mut self) {
        self.moves = (self.moves + EARNED).min(MOST);
    }

    /// Whether a move may be made.
    pub fn has_one(&self) -> bool {
        self.moves >= 1.0
    }

    /// A move is made.
    pub fn spend(&mut self) {
        self.moves = (self.moves - 1.0).max(0.0);
    }
}
