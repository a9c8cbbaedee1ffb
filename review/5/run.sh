#!/usr/bin/env bash
exec "$(dirname "$0")/../run.sh" event "$(cd "$(dirname "$0")" && pwd)"
