//! The size of packed messages.

const WORD_BYTES: usize = 8;

/// Returns the size of a packed message once it is unpacked, without unpacking it. Of a truncated message, the part up to
/// its end is counted.
///
/// Each word is packed as a tag, whose bits tell the bytes that are not zero, and these bytes. After a word of zeros
/// comes the number of further words of zeros; after a word without zeros the number of further words that follow as
/// they are.
pub fn unpacked_bytes(packed: &[u8]) -> usize {
    let mut words = 0;
    let mut at = 0;
    while let Some(tag) = packed.get(at) {
        let literal_bytes = tag.count_ones() as usize;
        words += 1;
        at += 1 + literal_bytes;
        if matches!(tag, 0x00 | 0xff) {
            let count = packed.get(at).copied().map_or(0, usize::from);
            words += count;
            at += 1 + if *tag == 0xff { count * WORD_BYTES } else { 0 };
        }
    }
    words * WORD_BYTES
}
