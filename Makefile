BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: packages configure build check demo smoke soak sidecar-soak lint format clean

packages:
	tools/install-packages

configure: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release -DAGATESPREAD_WERROR=ON

build: configure
	cmake --build $(BUILD) -j $(JOBS)

check: build
	ctest --test-dir $(BUILD) -j $(JOBS) --output-on-failure --no-tests=error \
		-E "$$(tools/known-red --filter)"

lint: build
	tools/lint $(BUILD)

format:
	git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | xargs clang-format -i

demo: build
	tools/demo $(BUILD)

# A short run of the benchmark behind docs/CAPACITY.md; it asserts no timings.
smoke: build
	tools/bench $(BUILD) convergence --sweep 2x3 --services 5 --changes 2 --idle-seconds 1 --settle 1

# Random faults on real processes; SEED selects the fault sequence.
soak: build
	tools/soak $(BUILD) $(if $(SEED),--seed $(SEED))

# The same for the sidecar, in the shape of zborovo-mesh.
sidecar-soak: build
	tools/sidecar-soak $(BUILD)/agatespread-sidecar $(if $(SEED),--seed $(SEED))

clean:
	rm -rf $(BUILD)
