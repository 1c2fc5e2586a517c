//! The functions of the C library behind the replaced ones.

use std::ffi::{c_void, CStr};
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function that is looked up at its first use.
pub struct Real {
    name: &'static CStr,
    address: AtomicPtr<c_void>,
}

impl Real {
    pub const fn new(name: &'static CStr) -> Self {
        Real { name, address: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// Its address; the next definition of the name behind this library.
    pub fn address(&self) -> *mut c_void {
        let known = self.address.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: a valid name; the functions replaced here exist in every C library of Linux.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        self.address.store(found, Ordering::Relaxed);
        found
    }
}

/// Calls a function of the C library by the type of the replacement.
macro_rules! real {
    ($name:literal as $type:ty) => {{
        static REAL: crate::real::Real = crate::real::Real::new($name);
        // SAFETY: the address is that of the function with this name, whose type this is.
        unsafe { std::mem::transmute::<*mut std::ffi::c_void, $type>(REAL.address()) }
    }};
}
pub(crate) use real;
