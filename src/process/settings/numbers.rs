//! Macro for sections in which every key is a number with a default and a range.

/// Declares the struct of a section with its name, keys, defaults and reader. A key is written
/// `key: type = default, minimum => maximum;`.
macro_rules! numbers {
    (
        $(#[$outer:meta])*
        pub struct $type:ident in $section:literal {
            $( $(#[$doc:meta])* $key:ident: $value:ty = $default:expr, $low:expr => $high:expr; )*
        }
    ) => {
        $(#[$outer])*
        #[derive(Debug, Clone, PartialEq)]
        pub struct $type {
            $( $(#[$doc])* pub $key: $value, )*
        }

        impl Default for $type {
            fn default() -> Self {
                $type { $( $key: $default, )* }
            }
        }

        impl $type {
            pub(super) const SECTION: &'static str = $section;
            pub(super) const KEYS: &'static [&'static str] = &[$( stringify!($key), )*];

            pub(super) fn read(reader: &mut super::reader::Reader) -> Self {
                $type {
                    $( $key: reader.number($section, stringify!($key), $default, $low, $high), )*
                }
            }
        }
    };
}

pub(super) use numbers;
