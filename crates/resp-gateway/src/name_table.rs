//! Names of the settings' classes and zones as the log stores them, and the mapping of a stored message's indexes to
//! the settings of this process. Free of I/O.

use cloverstile::{Class, Effect};
use cloverstile_platform::config::SettingNames;
use cloverstile_wal::{ClassName, LiveMessage, NameTable, UNKNOWN_INDEX};
use std::time::Duration;

/// The log's code of an effect: not its position in the code, which may change.
fn effect_code(effect: Effect) -> u8 {
    match effect {
        Effect::Safe => 1,
        Effect::Keyed => 2,
        Effect::Unsafe => 3,
    }
}

/// The class of messages whose own class is gone, or has become more lenient, since they were submitted: it has no
/// name, stands behind all others, and no client can submit under it. Its latency objective and deadline are the
/// longest of all, so that it changes no sum over classes.
pub fn fallback_class(classes: &[Class]) -> Class {
    let longest = |span: fn(&Class) -> Duration| classes.iter().map(span).max();
    let base = Class::default();
    let latency_objective = longest(|class| class.latency_objective).unwrap_or(base.latency_objective);
    let deadline = longest(|class| class.deadline).unwrap_or(base.deadline);
    Class { effect: Effect::Unsafe, ordered: true, latency_objective, deadline, ..base }
}

/// What indexes of classes and zones mean in this process; the last of `classes` is the [`fallback_class`].
pub fn name_table(names: &SettingNames, classes: &[Class]) -> NameTable {
    let class_names = names.classes.iter().map(String::as_str).chain([""]);
    let named = class_names.zip(classes);
    let entry = |(name, class): (&str, &Class)| ClassName {
        name: name.to_owned(),
        effect: effect_code(class.effect),
    };
    let classes = named.map(entry).collect();
    NameTable { classes, zones: names.zones.clone() }
}

/// Changes a message's indexes from what they meant when it was stored to what they mean now.
///
/// Guards against settings that changed between two processes: a message that may not be repeated could come under
/// another effect, by its index alone or because its class has another effect now; and one whose class is gone would
/// end without an attempt.
pub fn remap(message: &mut LiveMessage, stored: &NameTable, current: &NameTable) {
    message.class = u8::try_from(remapped_class(message.class, stored, current)).unwrap_or(u8::MAX);
    for start in [&mut message.may_have_run, &mut message.open_attempt].into_iter().flatten() {
        let name = stored.zones.get(usize::from(start.zone));
        let found = name.and_then(|name| current.zones.iter().position(|zone| zone == name));
        start.zone = found.and_then(|index| u8::try_from(index).ok()).unwrap_or(UNKNOWN_INDEX);
    }
}

/// The index that a stored class has now; that of the fallback class where it is gone or has become more lenient.
fn remapped_class(class: u8, stored: &NameTable, current: &NameTable) -> usize {
    let fallback = current.classes.len().saturating_sub(1);
    let index = usize::from(class);
    let Some(ClassName { name, effect: stored_effect }) = stored.classes.get(index) else {
        // A log written before names were stored.
        return index.min(fallback);
    };
    let is_as_strict = |index: &usize| {
        let effect = current.classes[*index].effect;
        *stored_effect == UNKNOWN_INDEX || *stored_effect == effect || effect == effect_code(Effect::Unsafe)
    };
    let found = current.classes.iter().position(|class| class.name == *name);
    found.filter(is_as_strict).unwrap_or(fallback)
}

#[cfg(test)]
mod tests;
