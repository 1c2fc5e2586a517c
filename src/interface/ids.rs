//! Identifiers of messages, endpoints, destinations and entries of the settings.

/// Defines identifier types that wrap an integer.
macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Identifies a message, uniquely for the life of a gateway instance. It is also the idempotency key.
    MessageId(u32);
    /// Identifies an endpoint: an address of a destination.
    EndpointId(u32);
    /// Identifies a destination: a partner's system that messages are sent to.
    DestinationId(u16);
    /// Index into [`crate::Settings::classes`].
    ClassId(u8);
    /// Index into [`crate::Settings::tenants`].
    TenantId(u32);
    /// Index into [`crate::Settings::kinds`].
    KindId(u16);
    /// Identifies a zone: a location of gateway instances and endpoints.
    ZoneId(u8);
    /// An order key: messages of an ordered class with the same key are delivered one at a time, in order.
    OrderKey(u64);
}
