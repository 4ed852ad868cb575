//! The hashes must never change: VMs of two builds would choose differently. The values come from the
//! reference implementation, by its Python binding `xxhash` 3.

use hashing::{combine, hash_text, unit_fraction};

#[test]
fn texts_hash_as_the_published_algorithm_says() {
    assert_eq!(hash_text(""), 0x2d06_8005_38d3_94c2);
    assert_eq!(hash_text("autoridad"), 0xe7c7_d5ec_6ec8_3119);
}

#[test]
fn two_hashes_combine_in_little_endian_order() {
    assert_eq!(combine(1, 2), 0x07ee_86c2_8144_6bef);
    assert_ne!(combine(1, 2), combine(2, 1));
}

#[test]
fn a_part_lies_between_none_and_all() {
    assert!(unit_fraction(0) > 0.0);
    assert!(unit_fraction(u64::MAX / 2) > 0.49 && unit_fraction(u64::MAX / 2) < 0.51);
}
