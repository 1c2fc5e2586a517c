//! The preloaded library: replaces functions of the C library by ones that fail as the control file says. See
//! `cloverstile_fault_injection`.
//!
//! | module | contents |
//! | --- | --- |
//! | `control` | the mapped control file, and how a fault changes a call |
//! | `real` | lookup of the original functions of the C library |
//! | `files`, `sockets`, `clock` | the replacement functions |

mod clock;
mod control;
mod files;
mod real;
mod sockets;
