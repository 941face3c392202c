//! Typed names of resources and locations.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt},
};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(CompactString::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(CompactString::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of a job.
    JobName
}
name_type! {
    /// Name of a lynxwheel node.
    NodeName
}
name_type! {
    /// Name of a policy.
    PolicyName
}
name_type! {
    /// Name of a pool of VMs.
    PoolName
}
name_type! {
    /// Name of a rack, the smallest failure domain.
    RackName
}
name_type! {
    /// Name of a service.
    ServiceName
}
name_type! {
    /// Name of a team.
    TeamName
}
name_type! {
    /// Name of a VM.
    VmName
}
name_type! {
    /// Name of a maintenance wave.
    WaveName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
