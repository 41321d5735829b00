//! A macro for newtypes of validated text.

/// Defines a newtype for text that `$check` has accepted, with `as_str`, `Display` and `FromStr`.
///
/// ```
/// papayamux_state::text_newtype!(
///     /// A word.
///     Word, String, |text| match text.contains(' ') {
///         true => Err(format!("{text:?} is not one word")),
///         false => Ok(text.to_string()),
///     }
/// );
/// assert_eq!("mine".parse::<Word>().unwrap().as_str(), "mine");
/// assert!("two words".parse::<Word>().is_err());
/// ```
#[macro_export]
macro_rules! text_newtype {
    ($(#[$doc:meta])* $name:ident, $error:ty, $check:expr) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(String);

        impl $name {
            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $error;

            fn from_str(text: &str) -> Result<Self, $error> {
                let check: fn(&str) -> Result<String, $error> = $check;
                check(text).map(Self)
            }
        }
    };
}
