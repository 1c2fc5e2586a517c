//! Stores the names of the configured classes and zones in the log, and maps the indexes in a stored message to the
//! settings of this process. Performs no I/O.

use cloverstile::{Class, Effect};
use cloverstile_platform::config::SettingNames;
use cloverstile_wal::{ClassEntry, LiveMessage, NameTable, UNKNOWN_INDEX};
use std::time::Duration;

/// The code of an effect in the log. It is fixed, independent of the order of the enum's variants, which may change.
fn effect_code(effect: Effect) -> u8 {
    match effect {
        Effect::Safe => 1,
        Effect::Keyed => 2,
        Effect::Unsafe => 3,
    }
}

/// The class of messages whose own class was removed, or made more lenient, after they were submitted. It has no name,
/// comes after all other classes, and no client can submit messages of it. Its latency objective and deadline are the
/// longest of all classes, so that it does not change what the policy derives from all of them, such as the shortest
/// latency objective.
pub fn fallback_class(classes: &[Class]) -> Class {
    let longest = |span: fn(&Class) -> Duration| classes.iter().map(span).max();
    let base = Class::default();
    let latency_objective = longest(|class| class.latency_objective).unwrap_or(base.latency_objective);
    let deadline = longest(|class| class.deadline).unwrap_or(base.deadline);
    Class { effect: Effect::Unsafe, ordered: true, latency_objective, deadline, ..base }
}

/// The names behind the class and zone indexes of this process. The last of `classes` must be the [`fallback_class`].
pub fn name_table(names: &SettingNames, classes: &[Class]) -> NameTable {
    let class_names = names.classes.iter().map(String::as_str).chain([""]);
    let named = class_names.zip(classes);
    let entry = |(name, class): (&str, &Class)| ClassEntry {
        name: name.to_owned(),
        effect: effect_code(class.effect),
    };
    let classes = named.map(entry).collect();
    NameTable { classes, zones: names.zones.clone() }
}

/// Translates a message's class and zone indexes from the `stored` name table to the `current` one.
///
/// Settings may change between two processes. Without the translation, a message that must not be repeated could get
/// another effect, because its index now means another class or because its class has another effect; and a message whose
/// class was removed would fail without an attempt.
pub fn remap(message: &mut LiveMessage, stored: &NameTable, current: &NameTable) {
    message.class = u8::try_from(remapped_class(message.class, stored, current)).unwrap_or(u8::MAX);
    for start in [&mut message.first_possible_run, &mut message.open_attempt].into_iter().flatten() {
        let name = stored.zones.get(usize::from(start.zone));
        let found = name.and_then(|name| current.zones.iter().position(|zone| zone == name));
        start.zone = found.and_then(|index| u8::try_from(index).ok()).unwrap_or(UNKNOWN_INDEX);
    }
}

/// The current index of a stored class, or that of the fallback class if the class was removed or made more lenient.
fn remapped_class(class: u8, stored: &NameTable, current: &NameTable) -> usize {
    let fallback = current.classes.len().saturating_sub(1);
    let index = usize::from(class);
    let Some(ClassEntry { name, effect: stored_effect }) = stored.classes.get(index) else {
        // The log was written by a version that did not store names.
        return index.min(fallback);
    };
    let is_as_strict = |index: &usize| {
        let effect = current.classes[*index].effect;
        // Logs of an earlier version hold no effect; the class of that name is then used whatever its effect is.
        *stored_effect == UNKNOWN_INDEX || *stored_effect == effect || effect == effect_code(Effect::Unsafe)
    };
    let found = current.classes.iter().position(|class| class.name == *name);
    found.filter(is_as_strict).unwrap_or(fallback)
}

#[cfg(test)]
mod tests;
