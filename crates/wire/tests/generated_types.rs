//! The committed API types match those generated from the schema.

use std::fs;
use std::path::Path;

use typify::TypeSpace;
use typify::TypeSpaceSettings;

const SCHEMA_FILE: &str = "../../schema/border.schema.json";
const GENERATED_FILE: &str = "src/generated.rs";

fn generate() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let schema = fs::read_to_string(root.join(SCHEMA_FILE)).unwrap();
    let schema: schemars::schema::RootSchema = serde_json::from_str(&schema).unwrap();
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema).unwrap();
    let file = syn::parse2(space.to_stream()).unwrap();
    prettyplease::unparse(&file)
}

#[test]
fn generated_file_current() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(GENERATED_FILE);
    let generated = generate();
    if std::env::var_os("GENERATE").is_some() {
        fs::write(&path, &generated).unwrap();
    }
    let committed = fs::read_to_string(&path).unwrap();
    assert!(
        committed == generated,
        "src/generated.rs does not match schema/border.schema.json; run the test with GENERATE=1"
    );
}
