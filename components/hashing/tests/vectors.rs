//! The hash values must never change, or VMs of two builds would make different choices. The
//! expected values come from the reference implementation, through version 3 of its Python binding
//! `xxhash`.

use hashing::{combine, hash_text, unit_fraction};

#[test]
fn text_hashes_match_the_reference_implementation() {
    assert_eq!(hash_text(""), 0x2d06_8005_38d3_94c2);
    assert_eq!(hash_text("autoridad"), 0xe7c7_d5ec_6ec8_3119);
}

#[test]
fn combined_hashes_use_little_endian_order() {
    assert_eq!(combine(1, 2), 0x07ee_86c2_8144_6bef);
    assert_ne!(combine(1, 2), combine(2, 1));
}

#[test]
fn unit_fraction_is_positive_and_proportional() {
    assert!(unit_fraction(0) > 0.0);
    assert!(unit_fraction(u64::MAX / 2) > 0.49 && unit_fraction(u64::MAX / 2) < 0.51);
}
