//! Looks up the original functions of the C library, which the replacements call.

use std::ffi::{c_void, CStr};
use std::sync::atomic::{AtomicPtr, Ordering};

/// An original function, whose address is looked up at its first use.
pub struct OriginalFunction {
    name: &'static CStr,
    address: AtomicPtr<c_void>,
}

impl OriginalFunction {
    pub const fn new(name: &'static CStr) -> Self {
        OriginalFunction { name, address: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// Address of the next definition of the function after this library in the order of symbol lookup.
    pub fn address(&self) -> *mut c_void {
        let cached = self.address.load(Ordering::Relaxed);
        if !cached.is_null() {
            return cached;
        }
        // SAFETY: the name is a valid C string. Every C library of Linux has the functions that this library replaces.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        self.address.store(found, Ordering::Relaxed);
        found
    }
}

/// The original function with this name, as a function pointer of this type.
macro_rules! original {
    ($name:literal as $type:ty) => {{
        static ORIGINAL: crate::real::OriginalFunction = crate::real::OriginalFunction::new($name);
        // SAFETY: the address is that of the function with this name, and the caller passes the type of that function.
        unsafe { std::mem::transmute::<*mut std::ffi::c_void, $type>(ORIGINAL.address()) }
    }};
}
pub(crate) use original;
