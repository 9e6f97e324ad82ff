//! The binary format of `numeric`, which no library at hand reads without losing digits.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

/// Decimal digits in one digit of the binary format.
const GROUP: usize = 4;
const NEGATIVE: u16 = 0x4000;
const NAN: u16 = 0xC000;
const INFINITY: u16 = 0xD000;
const NEGATIVE_INFINITY: u16 = 0xF000;
/// The bytes before the digits: count, weight, sign and scale.
const HEADER_BYTES: usize = 8;
/// Decimal digits of the longest accepted text; the server itself takes no more before the point.
const MAX_DIGITS: usize = 131_072;

/// Returns the decimal text of a binary value.
pub fn decode(mut binary: &[u8]) -> Result<String, &'static str> {
    if binary.len() < HEADER_BYTES {
        return Err("numeric is too short");
    }
    let count = usize::from(binary.get_u16());
    let weight = i32::from(binary.get_i16());
    let sign = binary.get_u16();
    let scale = usize::from(binary.get_u16());
    match sign {
        NAN => return Ok("NaN".to_owned()),
        INFINITY => return Ok("Infinity".to_owned()),
        NEGATIVE_INFINITY => return Ok("-Infinity".to_owned()),
        _ => {}
    }
    if binary.len() != count * 2 {
        return Err("numeric has another length than its header says");
    }
    let mut groups = Vec::with_capacity(count);
    while binary.has_remaining() {
        groups.push(binary.get_u16());
    }
    let group = |place: i32| {
        let index = usize::try_from(weight - place).ok();
        index
            .and_then(|index| groups.get(index))
            .copied()
            .unwrap_or(0)
    };
    let whole: String = (0..=weight.max(0))
        .rev()
        .map(|place| format!("{:04}", group(place)))
        .collect();
    let whole = whole.trim_start_matches('0');
    let mut text = if sign == NEGATIVE { "-" } else { "" }.to_owned();
    text.push_str(if whole.is_empty() { "0" } else { whole });
    if scale > 0 {
        let places = i32::try_from(scale.div_ceil(GROUP)).map_err(|_| "scale is too large")?;
        let fraction: String = (1..=places)
            .map(|place| format!("{:04}", group(-place)))
            .collect();
        text.push('.');
        text.push_str(&fraction[..scale]);
    }
    Ok(text)
}

/// Returns the binary value of a decimal text.
pub fn encode(text: &str) -> Result<Bytes, &'static str> {
    let text = text.trim_ascii();
    let special = match text.to_ascii_lowercase().as_str() {
        "nan" => Some(NAN),
        "infinity" | "inf" | "+infinity" | "+inf" => Some(INFINITY),
        "-infinity" | "-inf" => Some(NEGATIVE_INFINITY),
        _ => None,
    };
    if let Some(sign) = special {
        return frame(&[], 0, sign, 0);
    }
    let (sign, digits) = match text.strip_prefix('-') {
        Some(rest) => (NEGATIVE, rest),
        None => (0, text.strip_prefix('+').unwrap_or(text)),
    };
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let all_digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    if (whole.is_empty() && fraction.is_empty()) || !all_digits(whole) || !all_digits(fraction) {
        return Err("not a decimal number");
    }
    if whole.len() + fraction.len() > MAX_DIGITS {
        return Err("too many digits");
    }
    let before = whole.len().div_ceil(GROUP);
    let after = fraction.len().div_ceil(GROUP);
    let width = after * GROUP;
    let padded = format!("{whole:0>0$}{fraction:0<width$}", before * GROUP);
    let mut groups = Vec::with_capacity(before + after);
    for start in (0..padded.len()).step_by(GROUP) {
        let group = padded[start..start + GROUP].parse::<i16>();
        groups.push(group.map_err(|_| "not a decimal number")?);
    }
    let leading = groups.iter().take_while(|group| **group == 0).count();
    let significant = groups.len() - groups.iter().rev().take_while(|group| **group == 0).count();
    let groups = groups.get(leading..significant).unwrap_or_default();
    let first = i64::try_from(before).map_err(|_| "too many digits")? - 1;
    let weight = first - i64::try_from(leading).map_err(|_| "too many digits")?;
    let weight = if groups.is_empty() { 0 } else { weight };
    let sign = if groups.is_empty() { 0 } else { sign };
    frame(groups, weight, sign, fraction.len())
}

fn frame(groups: &[i16], weight: i64, sign: u16, scale: usize) -> Result<Bytes, &'static str> {
    let mut binary = BytesMut::with_capacity(HEADER_BYTES + groups.len() * 2);
    binary.put_u16(u16::try_from(groups.len()).map_err(|_| "too many digits")?);
    binary.put_i16(i16::try_from(weight).map_err(|_| "too many digits")?);
    binary.put_u16(sign);
    binary.put_u16(u16::try_from(scale).map_err(|_| "too many digits")?);
    for group in groups {
        binary.put_i16(*group);
    }
    Ok(binary.freeze())
}

#[cfg(test)]
mod tests;
