//! Scripted peers and checkers of the rules, shared by the tests of all packages. Nothing in the product
//! imports this. All peers bind to loopback addresses only, on ports that the system chooses.

mod cases;
mod settings;

pub use cases::check;
pub use settings::one_box;
