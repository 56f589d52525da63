.PHONY: build test lint run sites

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	RELAY_CONFIG=deploy/example.json target/release/sorrelhaven

# What the bench wants beside a deployment's file is the operators' and stays theirs: laid here, never committed.
KIT ?= ../given/kit
sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/more/mass/other/unlock.txt deploy/sites/
	chmod u+w deploy/sites/*
