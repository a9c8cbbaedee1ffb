#!/usr/bin/env bash
exec "$(dirname "$0")/../run.sh" stop "$(cd "$(dirname "$0")" && pwd)"
