//! How far a message goes, by which its bytes are counted: those that leave a zone or a region cost more.

/// Where the receiver of a message is, seen from its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reach {
    /// In the same availability zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region, or in a zone whose region is not known.
    Beyond,
}

impl Reach {
    /// Returns the reach from one zone and its region to another.
    pub fn between(from: (&str, &str), to: (&str, Option<&str>)) -> Self {
        match to {
            (zone, _) if zone == from.0 => Self::Zone,
            (_, Some(region)) if region == from.1 => Self::Region,
            _ => Self::Beyond,
        }
    }
}
