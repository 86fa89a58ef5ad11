//! The decoder bounds its memory and stack use, whatever lengths the headers in its input declare.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use serde::Deserialize;

use wire::DecodeError;
use wire::Frame;
use wire::MAX_FRAME_LEN;

/// System allocator that records the size of the largest allocation.
struct RecordingAllocator;

static LARGEST_ALLOCATION: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call goes unchanged to the system allocator.
unsafe impl GlobalAlloc for RecordingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LARGEST_ALLOCATION.fetch_max(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the pointer came from `System.alloc` with this layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: RecordingAllocator = RecordingAllocator;

#[derive(Debug, Deserialize)]
struct Nested(#[expect(dead_code, reason = "only decoded")] Vec<Nested>);

/// Returns a CBOR header of a major type that declares `len` items or bytes.
fn header(major: u8, len: u64) -> Vec<u8> {
    let mut bytes = vec![major << 5 | 27];
    bytes.extend(len.to_be_bytes());
    bytes
}

#[test]
fn declared_lengths() {
    const BYTES: u8 = 2;
    const TEXT: u8 = 3;
    const ARRAY: u8 = 4;
    const MAP: u8 = 5;
    for major in [BYTES, TEXT, ARRAY, MAP] {
        for len in [1 << 20, 1 << 32, 1 << 62, u64::MAX] {
            let declared = header(major, len);
            let framed = [&[0x82, 0x10], declared.as_slice()].concat();
            assert!(Frame::decode(&declared).is_err());
            assert!(Frame::decode(&framed).is_err());
            assert!(wire::decode::<Vec<u64>>(&declared).is_err());
            assert!(wire::decode::<Vec<String>>(&declared).is_err());
            assert!(wire::decode::<String>(&declared).is_err());
        }
    }
    let deep = vec![0x81; MAX_FRAME_LEN];
    assert_eq!(wire::decode::<Nested>(&deep).unwrap_err(), DecodeError::TooDeep);
    assert!(Frame::decode(&deep).is_err());
    // The deeply nested frame above is itself the largest allocation of the test.
    assert!(LARGEST_ALLOCATION.load(Ordering::Relaxed) <= MAX_FRAME_LEN);
}
