//! Scripted peers and checkers of the rules, shared by the tests of all packages. Nothing in the product
//! imports this. All peers bind to loopback addresses only, on ports that the system chooses.

mod between;
mod boxes;
mod cases;
mod checker;
mod client;
mod disk;
mod held;
mod open;
mod preload;
mod program;
mod settings;
mod share;

pub use between::{Between, Carried, Faults};
pub use boxes::{Act, Boxes, Run, reset, sum, text};
pub use cases::check;
pub use checker::{Checker, ONCE};
pub use client::{Ask, Reply};
pub use disk::{Conduct, StandInDisk};
pub use held::{Held, Refusing};
pub use open::{OPEN, piece, say, target};
pub use preload::{FaultPlan, injected};
pub use program::{Program, Scratch};
pub use settings::{boxes_file, one_box};
pub use share::{CpuShare, processor_time};
