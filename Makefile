.PHONY: build test lint run
build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release && cmake --build build -j4
test: build
	ctest --test-dir build --output-on-failure -j4
# Formatting, and that no layer includes a higher one.
lint:
	clang-format --dry-run -Werror $(shell find src tests -name '*.?pp')
	! grep -nE '#include "(transport|protocol|terms|routing|program|simhost)/' src/choice.* src/base/*
	! grep -nE '#include "(choice|protocol|terms|routing|program|simhost)' src/transport/*
	! grep -nE '#include "(choice|transport|terms|routing|program|simhost)' src/protocol/*
	! grep -nE '#include "(transport|protocol|routing|program|simhost)/' src/terms/*
	! grep -nE '#include "(program|simhost)/' src/routing/*
	! grep -nE '#include "(transport|protocol|routing|program)/' src/simhost/*
# With docs/example.json unless the variables say otherwise.
run: build
	PROXY_NAME=$${PROXY_NAME:-n0} PROXY_LISTEN=$${PROXY_LISTEN:-127.0.0.1:9000} \
	PROXY_DISCOVERY=$${PROXY_DISCOVERY:-127.0.0.1:8500} PROXY_CONFIG=$${PROXY_CONFIG:-docs/example.json} build/ashbeam
