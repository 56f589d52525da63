//! Compatibility with an earlier release: the content of its file for a body can be read, and is written the
//! same byte for byte, and the file names that a crash of that release has left in the directory are
//! recognised.

use futures_lite::future::block_on;
use sorrelhaven_body_store::{
    BodyEnd, BodyReadError, BodyStore, Directory, Disk, DiskFile, RequestBody, SharedBudgets,
};
use sorrelhaven_config::{BodyFiles, BodyMemory, BodySettings};
use sorrelhaven_test_support::ScratchDir;
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// A body as sent by a client.
const BODY: &[u8] =
    b"{\"order\":4711,\"lines\":[{\"article\":\"kettle\",\"count\":2},{\"article\":\"cup\",\"count\":6}],\
    \"note\":\"\xc3\xa4\\u0000\"}\x00\xff\r\n";
/// The content of the file that the release of commit fe51e40 wrote for [`BODY`], in hexadecimal digits.
const RECORDED_FILE: &str = "7b226f72646572223a343731312c226c696e6573223a5b7b2261727469636c65223a226b6574746c65222c\
    22636f756e74223a327d2c7b2261727469636c65223a22637570222c22636f756e74223a367d5d2c226e6f7465223a22c3a45c7530303030\
    227d00ff0d0a";
/// The length and CRC-32 of the file that the same release wrote for [`two_block_body`].
const RECORDED_TWO_BLOCK_FILE: (usize, u32) = (100_000, 0x72af_c085);
/// A file name that a crash of the same release left, for a node named "node-a".
const RECORDED_NAME: &str = "sorrelhaven-body.node%2da.29342.1.part";

fn recorded_file() -> Vec<u8> {
    let digits = RECORDED_FILE
        .as_bytes()
        .chunks(2)
        .map(|pair| std::str::from_utf8(pair).expect("the digits are ASCII"));
    digits.map(|pair| u8::from_str_radix(pair, 16).expect("the digits are hexadecimal")).collect()
}

fn two_block_body() -> Vec<u8> {
    (0..100_000_usize).map(|index| (index * 7 + index / 251) as u8).collect()
}

/// A disk whose file returns `recorded` when it is read, whatever was written to it. Written bytes are kept
/// in `written`, and reads are counted.
#[derive(Clone)]
struct RecordedDisk {
    recorded: Arc<Vec<u8>>,
    written: Arc<Mutex<Vec<u8>>>,
    reads: Arc<AtomicUsize>,
}

impl RecordedDisk {
    fn new(recorded: Vec<u8>) -> RecordedDisk {
        RecordedDisk { recorded: Arc::new(recorded), written: Arc::default(), reads: Arc::default() }
    }
}

impl Disk for RecordedDisk {
    fn create_file(&self) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(self.clone()))
    }

    fn free_bytes(&self) -> io::Result<u64> {
        Ok(u64::MAX)
    }
}

impl DiskFile for RecordedDisk {
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        let mut written = self.written.lock().expect("no thread has panicked with the lock held");
        assert_eq!(
            written.len() as u64,
            offset,
            "the file is written without gaps, from its start to its end"
        );
        written.extend_from_slice(bytes);
        Ok(())
    }

    fn read_at(&self, bytes: &mut [u8], offset: u64) -> io::Result<()> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let from = offset as usize;
        let Some(recorded) = self.recorded.get(from..from + bytes.len()) else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        bytes.copy_from_slice(recorded);
        Ok(())
    }
}

fn store(disk: &RecordedDisk) -> Rc<BodyStore> {
    let settings = BodySettings {
        largest_bytes: 1 << 20,
        memory: BodyMemory { each_bytes: 64, total_bytes: 1 << 20 },
        files: BodyFiles { each_bytes: 1 << 20, total_bytes: 1 << 22, ..BodyFiles::default() },
        ..BodySettings::default()
    };
    BodyStore::new(&settings, 1, Some(Arc::new(disk.clone())), SharedBudgets::unlimited())
}

async fn write_to_file(store: &Rc<BodyStore>, bytes: &[u8]) -> RequestBody {
    let mut writer =
        store.begin_upload(0, Some(bytes.len() as u64)).ok().expect("the body is within the limits");
    let body = writer.body();
    for piece in bytes.chunks(30_000) {
        writer.push(piece).await.expect("the file has room");
    }
    assert_eq!(writer.finish().await, BodyEnd::InFile);
    body
}

async fn read_all(body: &RequestBody) -> Vec<u8> {
    let (mut reader, mut bytes) = (body.reader(), Vec::new());
    while reader.read_next(&mut bytes).await.expect("the blocks have the right checksums") {}
    bytes
}

#[test]
fn a_body_file_of_the_previous_version_is_read_back() {
    let disk = RecordedDisk::new(recorded_file());
    let store = store(&disk);
    block_on(async {
        let body = write_to_file(&store, BODY).await;
        assert_eq!(read_all(&body).await, BODY);
        assert_eq!(disk.reads.load(Ordering::Relaxed), 1, "the body is read from its file, in one block");
    });
}

#[test]
fn a_body_file_that_differs_from_what_was_written_is_corrupt() {
    let mut damaged = recorded_file();
    damaged[50] ^= 1;
    let store = store(&RecordedDisk::new(damaged));
    block_on(async {
        let body = write_to_file(&store, BODY).await;
        assert_eq!(body.reader().read_next(&mut Vec::new()).await, Err(BodyReadError::Corrupt));
    });
}

#[test]
fn a_body_is_written_to_its_file_as_the_previous_version_did() {
    let disk = RecordedDisk::new(recorded_file());
    let store = store(&disk);
    let _body = block_on(write_to_file(&store, BODY));
    assert_eq!(*disk.written.lock().expect("no thread has panicked with the lock held"), recorded_file());
}

#[test]
fn a_body_of_two_blocks_is_written_as_the_previous_version_did_and_read_back() {
    let disk = RecordedDisk::new(two_block_body());
    let store = store(&disk);
    block_on(async {
        let body = write_to_file(&store, &two_block_body()).await;
        let written = disk.written.lock().expect("no thread has panicked with the lock held").clone();
        assert_eq!((written.len(), crc32fast::hash(&written)), RECORDED_TWO_BLOCK_FILE);
        assert_eq!(read_all(&body).await, written);
    });
}

#[test]
fn a_file_that_the_previous_version_left_is_deleted() {
    let scratch = ScratchDir::new("compatibility");
    std::fs::write(scratch.path(RECORDED_NAME), recorded_file()).expect("the file can be written");
    let directory = Directory::open(scratch.root(), "node-a").expect("the directory is usable");
    assert_eq!(directory.delete_leftover_files().expect("the directory can be listed"), 1);
    assert!(scratch.file_names(".").is_empty());
}
