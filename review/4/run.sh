#!/usr/bin/env bash
exec "$(dirname "$0")/../run.sh" parts "$(cd "$(dirname "$0")" && pwd)"
