# What the staff and CI run; each command is stated here once.

ORDERS ?= deploy/example.json

.PHONY: build test lint run nodes run-dialect

build:
	cargo build --release --locked --workspace

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# Two stand-in searchers with planted cues, where deploy/example.json has them.
nodes: build
	target/release/cue-nodes

# One mixer that speaks the query dialect before them.
run-dialect: build
	ROUTER_CONFIG=$(ORDERS) target/release/fernglade-mixer --operator deploy/example-operator.json5

# One mixer, from the orders in $(ORDERS): make run ORDERS=/path/to/orders.json
run: build
	ROUTER_CONFIG=$(ORDERS) target/release/fernglade-mixer
