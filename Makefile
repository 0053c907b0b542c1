# The two main targets are `make demo` and `make test`. Both install the packages that are missing.
BUILD := build
PACKAGES := g++ cmake ninja-build ccache clang-format clang-tidy libboost1.81-dev \
  libboost-json1.81-dev libboost-test1.81-dev libboost-url1.81-dev libzmq3-dev cppzmq-dev \
  libprotobuf-dev protobuf-compiler prometheus-cpp-dev libcxxopts-dev libgoogle-glog-dev libyaml-cpp-dev \
  libxxhash-dev libssl-dev zlib1g-dev gnuplot-nox
SEEDS ?= 1000

.PHONY: demo test build deps proto format lint soak

demo: build
	$(BUILD)/spurrack_demo

test: build lint
	cd $(BUILD) && ctest --output-on-failure --no-tests=error -j4

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

# Installs only the packages that are missing.
deps:
	@missing=""; for package in $(PACKAGES); do \
	  dpkg-query -W -f='$${Status}' $$package 2>/dev/null | grep -q 'ok installed' || missing="$$missing $$package"; \
	done; \
	if [ -n "$$missing" ]; then \
	  apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $$missing; \
	fi

# Needed only after a change to peer.proto or published.proto; the generated code is committed.
proto:
	protoc --cpp_out=src/wire --proto_path=src/wire src/wire/peer.proto src/wire/published.proto

format:
	git ls-files '*.cc' '*.h' | grep -v '\.pb\.' | xargs clang-format -i

lint: build
	tools/lint.sh $(BUILD)

soak: build
	$(BUILD)/fleet_soak --seeds $(SEEDS)

# Runs real daemons with an emulated platform of the users under random faults.
.PHONY: fault_soak
FIRST_SEED ?= 1
fault_soak: build
	$(BUILD)/platform_fault_soak --first-seed $(FIRST_SEED) --seeds $(SEEDS)

# Measurements: load experiment with plots, control-plane cost by fleet size, and speed of real processes; see
# docs/MEASUREMENTS.md and docs/CAPACITY.md.
.PHONY: experiment capacity speed
experiment: build
	$(BUILD)/experiment --out report
	cd report && gnuplot *.gp

capacity: build
	$(BUILD)/capacity --header
	for size in 8 32 128 512; do $(BUILD)/capacity --nodes $$size; done
	$(BUILD)/capacity --nodes 8 --other-zones 22 --other-nodes 644 --replicas 2500 --tenants 500
	for size in 8 32; do $(BUILD)/capacity --nodes $$size --other-zones 22 --other-nodes 2582 --replicas 10000 --tenants 2000; done

speed: build
	$(BUILD)/speed
