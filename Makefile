# What the staff and CI run; each command is stated here once.

ORDERS ?= deploy/example.json

.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# One mixer, from the orders in $(ORDERS): make run ORDERS=/path/to/orders.json
run: build
	ROUTER_CONFIG=$(ORDERS) target/release/fernglade-mixer
