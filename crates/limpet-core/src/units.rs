//! Serde adapters between the text form of a quantity and its unit in code.

use serde::{Deserialize, Deserializer, Serializer, de};
use serde_with::{DeserializeAs, SerializeAs};

/// The largest number of whole cores that is deserialised. The narrower range
/// of a task is checked by `JobSpec::validate`.
const CORES_LIMIT: f64 = 1.0e9;

/// Serialises thousandths of a core as a decimal number of whole cores.
pub struct CoresAsNumber;

impl SerializeAs<u64> for CoresAsNumber {
    fn serialize_as<S: Serializer>(
        cores_milli: &u64,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(*cores_milli as f64 / 1000.0)
    }
}

impl<'de> DeserializeAs<'de, u64> for CoresAsNumber {
    fn deserialize_as<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<u64, D::Error> {
        let cores = f64::deserialize(deserializer)?;
        if !(0.0..=CORES_LIMIT).contains(&cores) {
            return Err(de::Error::custom(format!(
                "cores is {cores}, 0.001 to 1024 is allowed"
            )));
        }
        Ok((cores * 1000.0).round() as u64)
    }
}

/// Serialises bytes as a text of hexadecimal digits.
pub struct HexBytes;

impl SerializeAs<Vec<u8>> for HexBytes {
    fn serialize_as<S: Serializer>(
        bytes: &Vec<u8>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut text = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            text.push_str(&format!("{byte:02x}"));
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> DeserializeAs<'de, Vec<u8>> for HexBytes {
    fn deserialize_as<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        let invalid = || {
            de::Error::custom("expected an even number of hexadecimal digits")
        };
        if !text.is_ascii() || text.len() % 2 == 1 {
            return Err(invalid());
        }
        (0..text.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&text[at..at + 2], 16))
            .collect::<Result<_, _>>()
            .map_err(|_| invalid())
    }
}
