#!/bin/sh
exec "$(dirname "$0")/../play.sh" lost-kind 2
