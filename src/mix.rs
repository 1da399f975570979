//! A hash of integers, for orders that look random but are determined by their input.

/// Spreads integers that differ little over all 64 bits (the finalizer of MurmurHash3).
pub fn mix(mut bits: u64) -> u64 {
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        bits = (bits ^ (bits >> 33)).wrapping_mul(factor);
    }
    bits ^ (bits >> 33)
}
