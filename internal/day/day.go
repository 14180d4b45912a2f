package day
