#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec node target/review-3/12.mjs
