.PHONY: build test lint run sites regress

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	RELAY_CONFIG=deploy/example.json target/release/sorrelhaven

# Copies the files that the benchmark reads beside a deployment's file. They belong to the operators and are never
# committed.
KIT ?= ../given/kit
sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/more/mass/other/unlock.txt deploy/sites/
	chmod u+w deploy/sites/*

# Regression benchmark: the quick days of both deployments in turn, first in simulated time and then on real sockets. The
# runs on real sockets need the cores to themselves. WHY is the note for the journal, one plain sentence.
DEPLOYMENTS ?= $(KIT)/sites/lesen-kl-main.toml $(KIT)/users/jsta-registry.toml
regress: build
	@test -n "$(WHY)" || { echo 'WHY is not set; usage: make regress WHY="what has changed"'; exit 2; }
	for site in $(DEPLOYMENTS); do $(KIT)/bin/lbsim score $$site --quick --no-build --why "$(WHY)" || exit 1; done
	for site in $(DEPLOYMENTS); do $(KIT)/real/bin/lbreal score $$site --quick --no-build --why "$(WHY)" || exit 1; done
